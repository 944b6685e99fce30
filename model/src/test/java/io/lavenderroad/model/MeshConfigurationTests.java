package io.lavenderroad.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.binding.ConfigurationBinding;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a receiver whose slice differs from that of the sender after a delta,
 * and against configurations that refer to resources that they do not hold.
 */
public class MeshConfigurationTests {

	private static final Scope SCOPE = Scope.of("service-1");

	@Test
	public void appliedDeltaYieldsTheSliceOfTheSender() {
		Random random = new Random(20261204);
		MeshConfiguration mesh = MeshConfiguration.EMPTY.next(1, List.of(service("service-1", random)), List.of());
		MeshConfiguration receiver = mesh.slice(SCOPE);
		for (long version = 2; version < 400; version++) {
			mesh = mesh.next(version, List.of(service("service-" + random.nextInt(12), random)),
					random.nextBoolean() ? List.of("service-" + random.nextInt(12)) : List.of());
			if (random.nextInt(4) == 0) {
				ConfigurationDelta delta = mesh.deltaFrom(receiver.version(), receiver.services().keySet(), SCOPE)
					.orElseThrow();
				receiver = receiver.apply(delta).orElseThrow();
				Assert.assertEquals(receiver.digest(), mesh.slice(SCOPE).digest());
			}
		}
	}

	@Test
	public void deltaWithWrongDigestIsNotApplied() {
		MeshConfiguration first = MeshConfiguration.EMPTY.next(1, List.of(service("service-1", new Random(1))),
				List.of());
		ConfigurationDelta delta = new ConfigurationDelta(1, 2, List.of(service("service-2", new Random(2))), List.of(),
				first.digest());
		Assert.assertEquals(first.apply(delta), Optional.empty());
	}

	@Test
	public void receiverWithNewerVersionGetsNoDelta() {
		MeshConfiguration mesh = MeshConfiguration.of(50, List.of());
		Assert.assertTrue(mesh.deltaFrom(51, Set.of(), SCOPE).isEmpty());
		Assert.assertTrue(mesh.deltaFrom(50, Set.of(), SCOPE).isPresent());
	}

	@Test
	public void splitToAnUnknownVersionIsAMissingResource() {
		ServiceConfiguration service = service("service-1", new Random(3)).toBuilder()
			.split(Map.of("v9", ServiceConfiguration.FULL_SHARE_BASIS_POINTS))
			.build();
		MeshConfiguration mesh = MeshConfiguration.EMPTY.next(1, List.of(service), List.of());
		Assert.assertEquals(mesh.missingResources(),
				List.of("split of service service-1 names the unknown version v9"));
	}

	@Test
	public void bindingRoundTripKeepsEveryField() throws Exception {
		MeshConfiguration mesh = MeshConfiguration.EMPTY.next(7, List.of(service("service-1", new Random(4))),
				List.of());
		byte[] bytes = ConfigurationBinding.toBytes(mesh, ConfigurationBinding::packConfiguration);
		MeshConfiguration decoded = ConfigurationBinding.unpackConfiguration(Fields.unpacker(bytes));
		Assert.assertEquals(decoded.services(), mesh.services());
		Assert.assertEquals(decoded.version(), 7);
		Assert.assertEquals(decoded.digest(), mesh.digest());
	}

	private static ServiceConfiguration service(String name, Random random) {
		List<String> calls = new ArrayList<>();
		for (int index = 0; index < 12; index++) {
			if (random.nextInt(3) == 0) {
				calls.add("service-" + index);
			}
		}
		return ServiceConfiguration.builder(name)
			.team("team")
			.openToCallers(random.nextInt(5) == 0)
			.calls(calls)
			.routes(List.of(new Route("all", "*", "/", random.nextBoolean(), 1_000, 65_536)))
			.versions(List.of("v1", "v2"))
			.split(Map.of("v1", 9_000, "v2", 1_000))
			.move(new MoveParameters("move", "v1", "v2", random.nextInt(1_000), ThinEvidence.HOLD, "sequential"))
			.build();
	}

}
