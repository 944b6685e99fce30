package io.lavenderroad.model.rendering;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ThinEvidence;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a dry run that omits an effect on routes or traffic.
 */
public class DifferenceTests {

	private static final Route ORDERS = new Route("orders", "POST", "/orders", false, 1_000, 100);

	private static final Route QUERIES = new Route("queries", "GET", "/", true, 1_000, 100);

	@Test
	public void everyEffectIsListed() {
		MeshConfiguration before = MeshConfiguration.EMPTY.next(1,
				List.of(service("gone").build(),
						service("desk").routes(List.of(ORDERS, QUERIES))
							.split(Map.of("v1", 9_000, "v2", 1_000))
							.move(move("desk-v2-1", "v2"))
							.build()),
				List.of());
		Route modified = new Route("orders", "POST", "/orders", true, 2_000, 100);
		Route added = new Route("extra", "GET", "/extra", true, 1_000, 100);
		MeshConfiguration after = before.next(2,
				List.of(service("new").build(),
						service("desk").routes(List.of(modified, added))
							.calls(List.of("new"))
							.split(Map.of("v1", 10_000))
							.move(move("desk-v3-2", "v3"))
							.build()),
				List.of("gone"));
		Assert.assertEquals(Difference.between(before, after).lines(),
				List.of("service new added", "service gone removed", "service desk: route extra added",
						"service desk: route queries removed",
						"service desk: route orders: idempotent false -> true, timeout 1000 ms -> 2000 ms",
						"service desk: calls [] -> [new]",
						"service desk: move from v1 to v3 starts; deadline 1970-01-01T00:00:05Z, policy sequential, "
								+ "thin evidence: hold; v1 keeps the traffic until the first step",
						"service desk: move desk-v2-1 from v1 to v2 ends",
						"service desk: traffic v1 90%, v2 10% -> v1 100% at once"));
	}

	@Test
	public void versionNumberAloneIsNoDifference() {
		MeshConfiguration before = MeshConfiguration.EMPTY.next(1, List.of(service("desk").build()), List.of());
		MeshConfiguration after = before.next(2, List.of(service("desk").build()), List.of());
		Assert.assertTrue(Difference.between(before, after).isEmpty());
	}

	/**
	 * Members store these texts in their snapshots, which must be identical on all
	 * members.
	 */
	@Test
	public void defaultLocaleDoesNotChangeTheTexts() {
		Locale original = Locale.getDefault();
		try {
			Locale.setDefault(Locale.forLanguageTag("ar-EG-u-nu-arab"));
			Assert.assertEquals(ParameterType.percent(1_205), "12.05%");
		}
		finally {
			Locale.setDefault(original);
		}
	}

	private static ServiceConfiguration.Builder service(String name) {
		return ServiceConfiguration.builder(name).versions(List.of("v1", "v2", "v3")).split(Map.of("v1", 10_000));
	}

	private static MoveParameters move(String id, String target) {
		return new MoveParameters(id, "v1", target, 5_000, ThinEvidence.HOLD, "sequential");
	}

}
