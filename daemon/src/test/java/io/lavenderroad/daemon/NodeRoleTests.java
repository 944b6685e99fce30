package io.lavenderroad.daemon;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MeshView;
import io.lavenderroad.model.ServiceConfiguration;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a status page that mixes two configurations.
 */
public class NodeRoleTests {

	@Test
	public void statusShowsVersionAndDigestOfTheSameConfiguration() {
		ChangingView view = new ChangingView();
		for (int page = 0; page < 10; page++) {
			Map<String, Object> status = NodeRole.status(null, view);
			MeshConfiguration shown = ChangingView.at((Long) status.get("version"));
			Assert.assertEquals(status.get("digest"), shown.digest());
		}
	}

	/**
	 * Returns another active version at each read.
	 */
	private static final class ChangingView implements MeshView {

		private long version;

		@Override
		public Optional<MeshConfiguration> configuration() {
			this.version++;
			return Optional.of(at(this.version));
		}

		@Override
		public List<Endpoint> endpoints(String service) {
			return List.of();
		}

		@Override
		public void onChange(Runnable listener) {
		}

		private static MeshConfiguration at(long version) {
			return MeshConfiguration.of(version,
					List.of(ServiceConfiguration.builder("catalogue").modifiedVersion(version).build()));
		}

	}

}
