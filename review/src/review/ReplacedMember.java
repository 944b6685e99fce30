package review;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One of five control members is replaced as planned: an empty one starts at another address, and the old one gets
 * SIGTERM once the successor has had {@code catch_up_s}. Once the successor has had more than {@code catch_up_s}, two members lose their disks and
 * come back, which is what the deployment tolerates.
 */
final class ReplacedMember {

	private static final int CATCH_UP_MILLIS = 4_000;

	/**
	 * Time from the start of the successor to the loss of the disks.
	 */
	private static final int SUCCESSOR_AGE_MILLIS = Integer
		.parseInt(System.getenv().getOrDefault("SUCCESSOR_AGE_MILLIS", "6500"));

	private static final int WATCH_MILLIS = 45_000;

	private ReplacedMember() {
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], ReplacedMember::run);
	}

	private static boolean run(Recorder record, boolean trouble) throws Exception {
		try (Mesh mesh = new Mesh(record, 2)) {
			for (String zone : List.of("a", "a", "b", "b", "c")) {
				mesh.addControl(zone);
			}
			mesh.addNode("a", "catalogue");
			mesh.startAll();
			mesh.replace(0, configuration(1));
			Mesh.sleep(9_000);
			mesh.replace(1, configuration(2));
			List<Mesh.Machine> old = List.copyOf(mesh.controls);
			Mesh.Machine gone = old.get(4);
			long startNanos = System.nanoTime();
			if (trouble) {
				Mesh.Machine successor = mesh.addControl("c");
				mesh.start(successor, false);
				Mesh.sleep(CATCH_UP_MILLIS + 100);
				mesh.terminate(gone);
				mesh.controls.remove(gone);
				if (!mesh.awaitEnd(gone, Mesh.GRACE_SECONDS * 1_000)) {
					mesh.kill(gone);
				}
				record.line("%s has ended for good", gone.name());
			}
			Mesh.sleep(SUCCESSOR_AGE_MILLIS - (System.nanoTime() - startNanos) / 1_000_000);
			if (trouble) {
				record.line("the successor started %.1f s ago", (System.nanoTime() - startNanos) / 1e9);
			}
			mesh.replace(2, configuration(3));
			if (trouble) {
				loseDisks(mesh, List.of(old.get(1), old.get(2)));
			}
			return readBack(record, mesh);
		}
	}

	private static String configuration(int version) {
		return Configuration.of(version, List.of("catalogue"),
				List.of(new Configuration.Route("read", "/read/", true, 2_000 + version, "catalogue")));
	}

	private static void loseDisks(Mesh mesh, List<Mesh.Machine> machines) throws Exception {
		for (Mesh.Machine machine : machines) {
			mesh.kill(machine);
		}
		for (Mesh.Machine machine : machines) {
			mesh.loseDisk(machine);
		}
		Mesh.sleep(1_500);
		for (Mesh.Machine machine : machines) {
			mesh.start(machine, false);
		}
	}

	private static boolean readBack(Recorder record, Mesh mesh) throws Exception {
		long startNanos = System.nanoTime();
		Mesh.sleep(15_000);
		record.line("recovery_s is over, all members run again; reading back r3");
		Optional<Http.Message> answer = mesh.order("GET", "/lavenderroad/Configuration.Read", Map.of(), "",
				WATCH_MILLIS - 15_000);
		record.line("Configuration.Read %.1f s after the members came back: %s",
				(System.nanoTime() - startNanos) / 1e9,
				answer.map((message) -> message.status() + ", " + (message.text().contains("\"r3\"") ? "r3" : "not r3"))
					.orElse("no clear answer from any member in " + (WATCH_MILLIS - 15_000) / 1_000 + " s"));
		for (Mesh.Machine machine : mesh.controls) {
			mesh.recordLog(machine, "Member change|became leader|steps down|was removed");
		}
		return answer.isPresent() && answer.get().status() == 200 && answer.get().text().contains("\"r3\"");
	}

}
