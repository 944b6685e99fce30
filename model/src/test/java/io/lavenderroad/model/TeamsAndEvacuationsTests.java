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
 * Guards against a node that keeps a withdrawn key or an ended evacuation because a delta
 * leaves it out, and against encodings that lose teams, evacuations, cold starts or open
 * routes.
 */
public class TeamsAndEvacuationsTests {

	@Test
	public void bindingRoundTripKeepsEveryField() throws Exception {
		MeshConfiguration mesh = mesh();
		byte[] bytes = ConfigurationBinding.toBytes(mesh, ConfigurationBinding::packConfiguration);
		MeshConfiguration decoded = ConfigurationBinding.unpackConfiguration(Fields.unpacker(bytes));
		Assert.assertEquals(decoded.teams(), mesh.teams());
		Assert.assertEquals(decoded.teams().lastRemovalVersion(), 2);
		Assert.assertEquals(decoded.evacuations(), mesh.evacuations());
		Assert.assertEquals(decoded.services(), mesh.services());
		Assert.assertEquals(decoded.service("desk").orElseThrow().coldStart(), new ColdStart(12_500, 13.3));
		Assert.assertTrue(decoded.routes().find("open").orElseThrow().allowsAnonymous());
		Assert.assertFalse(decoded.routes().find("closed").orElseThrow().allowsAnonymous());
		Assert.assertEquals(decoded.digest(), mesh.digest());
	}

	@Test
	public void receiverOfDeltasHasTheTeamsAndEvacuationsOfTheSender() throws Exception {
		Random random = new Random(20261207);
		MeshConfiguration mesh = mesh();
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
		MeshConfiguration mesh = mesh();
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

	@Test
	public void withdrawnKeyFindsNoTeam() {
		TeamSet before = mesh().teams();
		Assert.assertEquals(before.findByKey("key-shop-1").orElseThrow().name(), "shop");
		TeamSet after = before.next(3, before.editTo(List.of(team("shop", 2))));
		Assert.assertTrue(after.findByKey("key-shop-1").isEmpty());
		Assert.assertEquals(after.findByKey("key-shop-2").orElseThrow().name(), "shop");
		Assert.assertTrue(before.editTo(before.all()).isEmpty(), "equal teams are not sent again");
	}

	private static MeshConfiguration mesh() {
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

}
