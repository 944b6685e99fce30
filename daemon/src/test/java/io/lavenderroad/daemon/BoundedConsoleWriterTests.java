package io.lavenderroad.daemon;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;

/**
 * Guards against a request that waits because nobody reads the standard output.
 */
public class BoundedConsoleWriterTests {

	private static final int LINES = 10_000;

	@Test
	public void writingNeverWaitsAndWhatIsLeftOutIsCounted() throws Exception {
		CountDownLatch read = new CountDownLatch(1);
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		PrintStream blocked = new PrintStream(new OutputStream() {
			@Override
			public void write(int value) {
				try {
					read.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				written.write(value);
			}
		}, true);
		BoundedConsoleWriter writer = new BoundedConsoleWriter(Map.of("format", "{message}"), blocked);
		for (int line = 0; line < LINES; line++) {
			writer.write(new LogEntry(null, null, null, null, null, null, 0, null, Level.INFO, "line " + line, null));
		}
		long leftOut = writer.leftOut();
		Assert.assertTrue(leftOut > 0 && leftOut < LINES, "left out " + leftOut);
		read.countDown();
		while (!written.toString().contains("log lines were left out.")) {
			Thread.onSpinWait();
		}
		writer.close();
		Assert.assertTrue(written.toString().startsWith("line 0"));
	}

}
