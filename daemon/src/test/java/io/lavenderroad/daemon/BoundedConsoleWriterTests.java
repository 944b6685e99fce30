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
 * Guards against requests that block on logging while standard output is not read.
 */
public class BoundedConsoleWriterTests {

	private static final int LINES = 10_000;

	@Test
	public void writingNeverBlocksAndDroppedLinesAreCounted() throws Exception {
		CountDownLatch outputRead = new CountDownLatch(1);
		ByteArrayOutputStream written = new ByteArrayOutputStream();
		PrintStream blocked = new PrintStream(new OutputStream() {
			@Override
			public void write(int value) {
				try {
					outputRead.await();
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
		long dropped = writer.droppedLines();
		Assert.assertTrue(dropped > 0 && dropped < LINES, "dropped " + dropped);
		outputRead.countDown();
		while (!written.toString().contains("log lines were dropped.")) {
			Thread.onSpinWait();
		}
		writer.close();
		Assert.assertTrue(written.toString().startsWith("line 0"));
	}

}
