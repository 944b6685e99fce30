package review;

import java.nio.file.Path;

/**
 * Runs a case. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
 */
final class Case {

	private Case() {
	}

	/**
	 * A case. Returns true if the rule held.
	 */
	interface Body {

		boolean run(Recorder record, boolean trouble) throws Exception;

	}

	static void main(String folder, Body body) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code = 2;
		try (Recorder record = new Recorder(Path.of(folder))) {
			try {
				record.line("TROUBLE=%d", trouble ? 1 : 0);
				boolean held = body.run(record, trouble);
				record.line(held ? "the rule held" : "THE RULE WAS BROKEN");
				code = held ? 0 : 1;
			}
			catch (Exception ex) {
				record.line("the case could not run: %s", ex);
			}
		}
		System.exit(code);
	}

}
