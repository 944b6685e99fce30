import java.nio.file.Path;
import java.util.Map;

/** Starts a case: repository and folder of the case as arguments. The exit code is that of the issue: 0, 1 or 2. */
public final class Run {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	/** A case. */
	interface Case {

		/**
		 * Plays the case.
		 * @param repository folder of the repository
		 * @param trouble whether the disruption is played
		 * @param record receives what was seen
		 * @return whether the rule was broken
		 * @throws Exception if the case could not run
		 */
		boolean play(Path repository, boolean trouble, Record record) throws Exception;

	}

	private static final Map<String, Case> CASES = Map.of("11", CutRefusal.inField(), "12", CutRefusal.inFirstLine(),
			"13", new SameHostOtherPort(), "14", new OddEntry(), "15",
			new InvalidConfigurations());

	private Run() {
	}

	public static void main(String[] arguments) throws Exception {
		Path repository = Path.of(arguments[0]).toAbsolutePath().normalize();
		Path folder = Path.of(arguments[1]).toAbsolutePath().normalize();
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code = NOT_RUN;
		try (Record record = new Record(folder.resolve("record.txt"))) {
			try {
				boolean broken = CASES.get(folder.getFileName().toString()).play(repository, trouble, record);
				code = broken ? BROKEN : HELD;
				record.write("the rule %s", broken ? "was BROKEN" : "held");
			}
			catch (Exception ex) {
				record.write("the case could not run: %s", ex);
				ex.printStackTrace();
			}
		}
		System.exit(code);
	}

}
