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
 * Writes log lines to standard output on a dedicated thread, so that logging never blocks
 * when the reader of the output stalls. Lines that find the queue full are dropped and
 * counted.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {

	/**
	 * Name of the writer in the configuration of tinylog.
	 */
	static final String NAME = "bounded console";

	private static final int MAXIMUM_QUEUED_LINES = 4_096;

	private static final long CLOSE_TIMEOUT_MILLIS = 500;

	/**
	 * Empty line that wakes the writing thread when the writer closes.
	 */
	private static final String WAKE_UP_LINE = "";

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

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
		this.thread = Thread.ofPlatform().name("log").daemon().start(this::writeLines);
	}

	@Override
	public Collection<LogEntryValue> getRequiredLogEntryValues() {
		return EnumSet.copyOf(super.getRequiredLogEntryValues());
	}

	@Override
	public void write(LogEntry logEntry) {
		if (!this.lines.offer(render(logEntry))) {
			this.droppedLines.incrementAndGet();
		}
	}

	@Override
	public void flush() {
		// The writing thread flushes after each line.
	}

	@Override
	public void close() throws InterruptedException {
		this.closed = true;
		// With a full queue the thread is awake and needs no extra line.
		this.lines.offer(WAKE_UP_LINE);
		this.thread.join(CLOSE_TIMEOUT_MILLIS);
	}

	/**
	 * Returns how many lines were dropped and not reported yet.
	 * @return number of lines
	 */
	long droppedLines() {
		return this.droppedLines.get();
	}

	private void writeLines() {
		try {
			while (!this.closed || !this.lines.isEmpty()) {
				this.output.print(this.lines.take());
				reportDroppedLines();
				this.output.flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void reportDroppedLines() {
		long count = this.droppedLines.getAndSet(0);
		if (count > 0) {
			this.output.println("daemon: " + count + " log lines were dropped.");
		}
	}

}
