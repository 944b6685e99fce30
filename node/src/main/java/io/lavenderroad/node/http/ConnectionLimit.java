package io.lavenderroad.node.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.tinylog.Logger;

/**
 * Maximum number of open connections of callers, by the heap and the descriptors of the
 * process.
 */
final class ConnectionLimit {

	private static final int MAXIMUM = 2_000;

	/**
	 * Memory of an idle connection: two threads, two buffers of 4 KB and the socket.
	 */
	private static final long CONNECTION_BYTES = 12 * 1024;

	/**
	 * Share of the heap for connections, one in this many bytes.
	 */
	private static final long HEAP_DIVISOR = 4;

	/**
	 * Share of the descriptors for callers, one in this many. The connections to the
	 * backend server, to other nodes and to the control group, pages, logs and libraries
	 * keep the rest.
	 */
	private static final long DESCRIPTOR_DIVISOR = 2;

	/**
	 * Environment variable with the number of descriptors that the process may open. It
	 * is for platforms on which sockets do not count against the limit that the operating
	 * system states.
	 */
	static final String DESCRIPTORS_VARIABLE = "LAVENDERROAD_DESCRIPTORS";

	private static final Pattern NUMBER = Pattern.compile("[1-9][0-9]{0,8}");

	private static final Pattern SOFT_LIMIT = Pattern.compile("(?m)^Max open files +([0-9]{1,9}) ");

	private ConnectionLimit() {
	}

	static int ofProcess() {
		return of(Runtime.getRuntime().maxMemory(), descriptors(System.getenv(DESCRIPTORS_VARIABLE), limits()));
	}

	static int of(long heapBytes, long descriptors) {
		long byHeap = heapBytes / HEAP_DIVISOR / CONNECTION_BYTES;
		return (int) Math.clamp(Math.min(byHeap, descriptors / DESCRIPTOR_DIVISOR), 1, MAXIMUM);
	}

	/**
	 * Returns the number of descriptors that the process may open.
	 * @param stated number that the environment states, or null
	 * @param limits text of the limits of the process
	 * @return the stated number, else the one of the text, or the largest one if neither
	 * is readable
	 */
	static long descriptors(String stated, String limits) {
		if (stated != null && NUMBER.matcher(stated).matches()) {
			return Long.parseLong(stated);
		}
		Matcher matcher = SOFT_LIMIT.matcher(limits);
		return matcher.find() ? Long.parseLong(matcher.group(1)) : Long.MAX_VALUE;
	}

	private static String limits() {
		try {
			return Files.readString(Path.of("/proc/self/limits"));
		}
		catch (IOException ex) {
			Logger.debug("node: The limits of the process are unknown: {}.", ex.getMessage());
			return "";
		}
	}

}
