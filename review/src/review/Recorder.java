package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Writes what was sent, answered and run to {@code record.txt} of a case, with the seconds since the start.
 */
final class Recorder implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter writer;

	Recorder(Path folder) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void line(String format, Object... arguments) {
		String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, arguments);
		this.writer.println(text);
		this.writer.flush();
		System.out.println(text);
	}

	@Override
	public synchronized void close() {
		this.writer.close();
	}

}
