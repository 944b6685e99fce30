package io.lavenderroad.distribution;

import java.util.List;
import java.util.Set;

import io.lavenderroad.distribution.DistributionMessages.Delta;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Scope;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against composing an update separately for each child, which delays the last
 * children, and against sending a child the update for another state or version.
 */
public class UpdateCacheTests {

	private final MeshConfiguration first = MeshConfiguration.EMPTY.next(1,
			List.of(DistributionTests.service("a", 1, Set.of()), DistributionTests.service("b", 1, Set.of())),
			List.of());

	private final MeshConfiguration second = this.first.next(2, List.of(DistributionTests.service("a", 2, Set.of())),
			List.of());

	private final UpdateCache cache = new UpdateCache();

	@Test
	public void childrenInTheSameStateShareOneUpdate() {
		Delta one = delta(this.second, 1, Set.of("a"), Scope.of("a"));
		Assert.assertSame(delta(this.second, 1, Set.of("a"), Scope.of("a")), one);
		Assert.assertSame(this.cache.whole(this.second, Scope.everything()),
				this.cache.whole(this.second, Scope.everything()));
	}

	@Test
	public void childrenInDifferentStatesGetDifferentUpdates() {
		Assert.assertEquals(delta(this.second, 1, Set.of("a"), Scope.of("a")).delta().changed().size(), 1);
		Assert.assertEquals(delta(this.second, 1, Set.of("b"), Scope.of("b")).delta().changed().size(), 0);
		Assert.assertEquals(delta(this.second, 1, Set.of(), Scope.everything()).delta().changed().size(), 2);
		Assert.assertEquals(this.cache.delta(this.second, 0, Set.of("a"), Scope.of("a")).isPresent(), false);
		Assert.assertEquals(this.cache.whole(this.second, Scope.of("b")).configuration().services().keySet(),
				Set.of("b"));
	}

	@Test
	public void newVersionInvalidatesCachedUpdates() {
		delta(this.second, 1, Set.of("a"), Scope.of("a"));
		MeshConfiguration third = this.second.next(3, List.of(DistributionTests.service("a", 3, Set.of())), List.of());
		Assert.assertEquals(delta(third, 1, Set.of("a"), Scope.of("a")).delta().toVersion(), 3);
		Assert.assertEquals(this.cache.whole(third, Scope.of("a")).configuration().version(), 3);
	}

	private Delta delta(MeshConfiguration current, long fromVersion, Set<String> names, Scope scope) {
		return this.cache.delta(current, fromVersion, names, scope).orElseThrow();
	}

}
