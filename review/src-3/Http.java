import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The little HTTP/1.1 that the stand-ins need. */
final class Http {

	private Http() {
	}

	/** Answer of a server; status 0 if none came in whole. */
	record Answer(int status, Map<String, String> fields, byte[] body, String failure) {

		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	/** Head of a message: first line and fields, names in lower case. */
	record Head(String line, Map<String, String> fields) {

	}

	static byte[] request(String method, String path, Map<String, String> fields, byte[] body) {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
		fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body != null) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
		if (body != null) {
			bytes.writeBytes(body);
		}
		return bytes.toByteArray();
	}

	/** Sends one request on a new connection. */
	static Answer once(String address, int port, String method, String path, Map<String, String> fields, byte[] body,
			int timeoutMillis) {
		Map<String, String> all = new LinkedHashMap<>(fields);
		all.putIfAbsent("Host", address + ":" + port);
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(address, port), timeoutMillis);
			socket.setSoTimeout(timeoutMillis);
			socket.getOutputStream().write(request(method, path, all, body));
			return readAnswer(new BufferedInputStream(socket.getInputStream()));
		}
		catch (IOException ex) {
			return new Answer(0, Map.of(), new byte[0], String.valueOf(ex.getMessage()));
		}
	}

	static Answer readAnswer(InputStream input) throws IOException {
		Head head = readHead(input);
		int status = Integer.parseInt(head.line().split(" ")[1]);
		int length = Integer.parseInt(head.fields().getOrDefault("content-length", "0"));
		byte[] body = input.readNBytes(length);
		if (body.length < length) {
			throw new EOFException("the answer broke off");
		}
		return new Answer(status, head.fields(), body, "");
	}

	static Head readHead(InputStream input) throws IOException {
		String line = readLine(input);
		Map<String, String> fields = new LinkedHashMap<>();
		for (String field = readLine(input); !field.isEmpty(); field = readLine(input)) {
			int colon = field.indexOf(':');
			fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
		}
		return new Head(line, fields);
	}

	private static String readLine(InputStream input) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				throw new EOFException("the connection ended");
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return line.toString();
	}

}
