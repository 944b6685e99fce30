package io.lavenderroad.daemon;

import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes log lines to standard output on a thread of its own, so that nobody waits for a
 * reader that does not read. Lines that find the queue full are left out and counted.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {

	/**
	 * Name of the writer in the configuration of tinylog.
	 */
	static final String NAME = "bounded console";

	private static final int MOST_LINES = 4_096;

	private static final long CLOSE_MILLIS = 500;

	/**
	 * Wakes the writing thread at the end.
	 */
	private static final String END = "";

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MOST_LINES);

	private final AtomicLong leftOut = new AtomicLong();

	private final PrintStream output;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Creates the writer; called by tinylog.
	 * @param properties configuration of the writer
	 */
	public BoundedConsoleWriter(Map<String, String> properties) {
		this(properties, System.out);
	}

	BoundedConsoleWriter(Map<String, String> properties, PrintStream output) {
		super(properties);
		this.output = output;
		this.thread = Thread.ofPlatform().name("log").daemon().start(this::writeAll);
	}

	@Override
	public Collection<LogEntryValue> getRequiredLogEntryValues() {
		return EnumSet.copyOf(super.getRequiredLogEntryValues());
	}

	@Override
	public void write(LogEntry logEntry) {
		if (!this.lines.offer(render(logEntry))) {
			this.leftOut.incrementAndGet();
		}
	}

	@Override
	public void flush() {
		// The writing thread flushes after each line.
	}

	@Override
	public void close() throws InterruptedException {
		this.closed = true;
		// A full queue keeps the thread awake without it.
		this.lines.offer(END);
		this.thread.join(CLOSE_MILLIS);
	}

	/**
	 * Returns the lines that were left out and not reported yet.
	 * @return count
	 */
	long leftOut() {
		return this.leftOut.get();
	}

	private void writeAll() {
		try {
			while (!this.closed || !this.lines.isEmpty()) {
				this.output.print(this.lines.take());
				report();
				this.output.flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void report() {
		long count = this.leftOut.getAndSet(0);
		if (count > 0) {
			this.output.println("daemon: " + count + " log lines were left out.");
		}
	}

}
