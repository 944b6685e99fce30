package io.lavenderroad.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.binding.ConfigurationBinding;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a receiver whose slice differs from that of the sender after a delta, so
 * that it may keep a withdrawn key or an ended evacuation, against encodings that lose a
 * field, and against configurations that refer to resources that they do not hold.
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

	@Test
	public void bindingRoundTripKeepsTeamsEvacuationsColdStartsAndOpenRoutes() throws Exception {
		MeshConfiguration mesh = withTeams();
		byte[] bytes = ConfigurationBinding.toBytes(mesh, ConfigurationBinding::packConfiguration);
		MeshConfiguration decoded = ConfigurationBinding.unpackConfiguration(Fields.unpacker(bytes));
		Assert.assertEquals(decoded.teams(), mesh.teams());
		Assert.assertEquals(decoded.teams().lastRemovalVersion(), 2);
		Assert.assertEquals(decoded.evacuations(), mesh.evacuations());
		Assert.assertEquals(decoded.service("desk").orElseThrow().coldStart(), new ColdStart(12_500, 13.3));
		Assert.assertTrue(decoded.routes().find("open").orElseThrow().allowsAnonymous());
		Assert.assertEquals(decoded.digest(), mesh.digest());
	}

	@Test
	public void receiverOfDeltasHasTheTeamsAndEvacuationsOfTheSender() throws Exception {
		Random random = new Random(20261207);
		MeshConfiguration mesh = withTeams();
		MeshConfiguration receiver = mesh;
		for (long version = 3; version < 400; version++) {
			mesh = mesh.next(version, randomEdit(random, mesh));
			if (random.nextInt(4) == 0) {
				ConfigurationDelta delta = mesh
					.deltaFrom(receiver.version(), receiver.services().keySet(), Scope.of("desk"))
					.orElseThrow();
				byte[] bytes = ConfigurationBinding.toBytes(delta.edit(), ConfigurationBinding::packEdit);
				ConfigurationEdit received = ConfigurationBinding.unpackEdit(Fields.unpacker(bytes));
				receiver = receiver
					.apply(new ConfigurationDelta(delta.fromVersion(), delta.toVersion(), received, delta.digest()))
					.orElseThrow();
				Assert.assertEquals(receiver.teams(), mesh.teams());
				Assert.assertEquals(receiver.evacuations().failureDomains(), mesh.evacuations().failureDomains());
			}
		}
	}

	@Test
	public void everyFeatureChangesTheDigestAndIsSent() {
		MeshConfiguration mesh = withTeams();
		List<ConfigurationEdit> edits = List.of(ConfigurationEdit.ofEvacuations(new TreeSet<>()),
				edit(List.of(), new TeamEdit(List.of(team("shop", 5)), List.of(), false)),
				edit(List.of(), new TeamEdit(List.of(), List.of("shop"), false)),
				edit(List.of(route("closed", true)), TeamEdit.NONE));
		Set<String> digests = new TreeSet<>(Set.of(mesh.digest()));
		for (ConfigurationEdit edit : edits) {
			MeshConfiguration next = mesh.next(3, edit);
			Assert.assertTrue(digests.add(next.digest()), edit.toString());
			ConfigurationDelta delta = next.deltaFrom(2, mesh.services().keySet(), Scope.of("desk")).orElseThrow();
			Assert.assertFalse(delta.changesVersionOnly(Optional.of(mesh.limits())), edit.toString());
			Assert.assertEquals(mesh.apply(delta).orElseThrow().digest(), next.digest());
		}
	}

	private static MeshConfiguration withTeams() {
		ServiceConfiguration service = ServiceConfiguration.builder("desk")
			.openToCallers(true)
			.coldStart(new ColdStart(12_500, 13.3))
			.build();
		ConfigurationEdit first = new ConfigurationEdit(List.of(service), List.of(),
				List.of(route("open", true), route("closed", false)), List.of(), Optional.empty(),
				new TeamEdit(List.of(team("shop", 1), team("gone", 1)), List.of(), false),
				Optional.of(new TreeSet<>(Set.of("north", "south"))));
		return MeshConfiguration.EMPTY.next(1, first)
			.next(2, edit(List.of(), new TeamEdit(List.of(), List.of("gone"), false)));
	}

	private static ConfigurationEdit randomEdit(Random random, MeshConfiguration mesh) {
		if (random.nextInt(3) == 0) {
			String domain = "domain-" + random.nextInt(3);
			return ConfigurationEdit.ofEvacuations(mesh.evacuations().with(domain, random.nextBoolean()));
		}
		List<Team> teams = new ArrayList<>(mesh.teams().all());
		teams.removeIf((team) -> random.nextInt(8) == 0);
		if (random.nextBoolean()) {
			teams.add(team("team-" + random.nextInt(5), random.nextInt(3)));
		}
		return edit(List.of(), mesh.teams().editTo(teams));
	}

	private static ConfigurationEdit edit(List<HostRoute> routes, TeamEdit teams) {
		return new ConfigurationEdit(List.of(), List.of(), routes, List.of(), Optional.empty(), teams,
				Optional.empty());
	}

	private static Team team(String name, int key) {
		return new Team(name, List.of(Team.keyDigest("key-" + name + "-" + key)), 1,
				(key % 2 == 0) ? Optional.empty() : Optional.of(new Quota(20.5, 4)), 0);
	}

	private static HostRoute route(String name, boolean anonymous) {
		return HostRoute.builder(name)
			.match("shop.example", "/" + name + "/")
			.rules(new CallRules(name, true, 1_000, 500, 0, 2, 1_000))
			.weights(Map.of("desk", 1))
			.allowsAnonymous(anonymous)
			.build();
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
