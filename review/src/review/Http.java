package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Minimal HTTP/1.1 for clients and stand-ins.
 */
final class Http {

	private Http() {
	}

	/**
	 * A message: request or response.
	 */
	record Message(String firstLine, Map<String, String> headers, byte[] body) {

		int status() {
			return Integer.parseInt(this.firstLine.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/**
	 * Reads one message with a length or in chunks. Returns null at the end of the stream before the first byte.
	 */
	static Message read(InputStream input) throws IOException {
		String first = line(input, true);
		while (first != null && first.isEmpty()) {
			first = line(input, true);
		}
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String field = line(input, false); !field.isEmpty(); field = line(input, false)) {
			int colon = field.indexOf(':');
			headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
		}
		byte[] body = new byte[0];
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream chunks = new ByteArrayOutputStream();
			int size = Integer.parseInt(line(input, false).strip(), 16);
			while (size > 0) {
				chunks.write(exactly(input, size));
				line(input, false);
				size = Integer.parseInt(line(input, false).strip(), 16);
			}
			line(input, false);
			body = chunks.toByteArray();
		}
		else if (headers.containsKey("content-length")) {
			body = exactly(input, Integer.parseInt(headers.get("content-length")));
		}
		return new Message(first, headers, body);
	}

	static void write(OutputStream output, String head, byte[] body) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
		bytes.write(body);
		output.write(bytes.toByteArray());
		output.flush();
	}

	static String request(String method, String path, String host, Map<String, String> headers, int length) {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (length > 0 || !method.equals("GET")) {
			head.append("Content-Length: ").append(length).append("\r\n");
		}
		return head.append("\r\n").toString();
	}

	/**
	 * One request on a new connection.
	 */
	static Message exchange(InetSocketAddress address, String method, String path, String host,
			Map<String, String> headers, byte[] body, int timeoutMillis) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(address, Math.min(1_000, timeoutMillis));
			socket.setSoTimeout(timeoutMillis);
			write(socket.getOutputStream(), request(method, path, host, headers, body.length), body);
			Message answer = read(socket.getInputStream());
			if (answer == null) {
				throw new EOFException("the connection was closed without an answer");
			}
			return answer;
		}
	}

	private static String line(InputStream input, boolean mayEnd) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				if (mayEnd && bytes.size() == 0) {
					return null;
				}
				throw new EOFException("the message broke off");
			}
			if (next != '\r') {
				bytes.write(next);
			}
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	private static byte[] exactly(InputStream input, int length) throws IOException {
		byte[] bytes = input.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the body broke off");
		}
		return bytes;
	}

}
