package io.lavenderroad.bench.history;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.lavenderroad.bench.history.HistoryEvent.CallAnswered;
import io.lavenderroad.bench.history.HistoryEvent.CallRan;
import io.lavenderroad.bench.history.HistoryEvent.CallSent;
import io.lavenderroad.bench.history.HistoryEvent.ChangeAnswered;
import io.lavenderroad.bench.history.HistoryEvent.ChangeSent;
import io.lavenderroad.bench.history.HistoryEvent.VersionInForce;
import io.lavenderroad.bench.history.HistoryEvent.VersionRecorded;
import io.lavenderroad.core.ExecutionVerdict;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.Location;

/**
 * History as a text file with one event per line. Fields are percent-encoded and
 * separated by tabs; the first field is the kind of the event, the second its time in
 * milliseconds.
 */
public final class HistoryFile implements AutoCloseable {

	private final BufferedWriter writer;

	private HistoryFile(BufferedWriter writer) {
		this.writer = writer;
	}

	/**
	 * Creates or replaces a file.
	 * @param file the file
	 * @return the open file
	 */
	public static HistoryFile create(Path file) {
		try {
			return new HistoryFile(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot create history", ex, Location.of(file.toString()));
		}
	}

	/**
	 * Appends an event. Thread-safe.
	 * @param event the event
	 */
	public synchronized void add(HistoryEvent event) {
		try {
			this.writer.write(format(event));
			this.writer.newLine();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot write history", ex);
		}
	}

	@Override
	public synchronized void close() {
		try {
			this.writer.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot close history", ex);
		}
	}

	/**
	 * Reads a file.
	 * @param file the file
	 * @return the events in the order of the file
	 * @throws LavenderroadException if a line is malformed, with its location
	 */
	public static List<HistoryEvent> read(Path file) {
		List<HistoryEvent> events = new ArrayList<>();
		try {
			for (String line : Files.readAllLines(file)) {
				events.add(parse(line, new Location(file.toString(), events.size() + 1, 0, "")));
			}
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot read history", ex, Location.of(file.toString()));
		}
		return events;
	}

	static String format(HistoryEvent event) {
		return switch (event) {
			case ChangeSent sent -> line("change-sent", sent.millis(), sent.changeId(), sent.baseVersion());
			case ChangeAnswered answered ->
				line("change-answered", answered.millis(), answered.changeId(), answered.verdict(), answered.version());
			case VersionRecorded recorded ->
				line("version-recorded", recorded.millis(), recorded.version(), recorded.changeId());
			case VersionInForce inForce -> line("version-in-force", inForce.millis(), inForce.nodeId(),
					inForce.version(), inForce.missingResources(), inForce.digest(), inForce.expectedDigest());
			case CallSent sent -> line("call-sent", sent.millis(), sent.callId(), sent.key(), sent.idempotent());
			case CallAnswered answered -> line("call-answered", answered.millis(), answered.callId(),
					answered.verdict(), answered.answeredCallId(), answered.whole());
			case CallRan ran -> line("call-ran", ran.millis(), ran.callId(), ran.key(), ran.backendId());
		};
	}

	static HistoryEvent parse(String line, Location location) {
		String[] fields = line.split("\t", -1);
		try {
			for (int index = 0; index < fields.length; index++) {
				fields[index] = URLDecoder.decode(fields[index], StandardCharsets.UTF_8);
			}
			return parse(fields, Long.parseLong(fields[1]));
		}
		catch (RuntimeException ex) {
			throw new LavenderroadException("malformed history line '" + line + "'", ex, location);
		}
	}

	private static HistoryEvent parse(String[] fields, long millis) {
		return switch (fields[0]) {
			case "change-sent" -> new ChangeSent(millis, fields[2], Long.parseLong(fields[3]));
			case "change-answered" ->
				new ChangeAnswered(millis, fields[2], ExecutionVerdict.valueOf(fields[3]), Long.parseLong(fields[4]));
			case "version-recorded" -> new VersionRecorded(millis, Long.parseLong(fields[2]), fields[3]);
			case "version-in-force" -> new VersionInForce(millis, fields[2], Long.parseLong(fields[3]),
					Integer.parseInt(fields[4]), fields[5], fields[6]);
			case "call-sent" -> new CallSent(millis, fields[2], fields[3], Boolean.parseBoolean(fields[4]));
			case "call-answered" -> new CallAnswered(millis, fields[2], ExecutionVerdict.valueOf(fields[3]), fields[4],
					Boolean.parseBoolean(fields[5]));
			case "call-ran" -> new CallRan(millis, fields[2], fields[3], fields[4]);
			default -> throw new LavenderroadException("unknown kind of event '" + fields[0] + "'");
		};
	}

	private static String line(String kind, Object... fields) {
		StringBuilder line = new StringBuilder(kind);
		for (Object field : fields) {
			line.append('\t').append(URLEncoder.encode(String.valueOf(field), StandardCharsets.UTF_8));
		}
		return line.toString();
	}

}
