import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt of a case: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter output;

	Record(Path file) throws IOException {
		this.output = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void write(String format, Object... arguments) {
		double seconds = (System.nanoTime() - this.startNanos) / 1e9;
		this.output.println(String.format(Locale.ROOT, "%8.3f ", seconds) + String.format(Locale.ROOT, format, arguments));
	}

	@Override
	public synchronized void close() {
		this.output.close();
	}

}
