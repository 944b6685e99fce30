package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestWriter;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.tinylog.Logger;

/**
 * One connection to the backend server, used by one request at a time. After any doubt
 * about its bytes it is not used again.
 */
final class BackendConnection implements AutoCloseable {

	private static final int BUFFER_BYTES = 4 * 1024;

	/**
	 * Largest head of an answer, together with the interim answers before it.
	 */
	private static final int LARGEST_HEAD_BYTES = 64 * 1024;

	/**
	 * Longest line of a head, of the framing of chunks or of trailers.
	 */
	private static final int LARGEST_LINE_BYTES = 16 * 1024;

	/**
	 * Answers of other requests that are dropped before the connection is given up.
	 */
	private static final int MOST_FOREIGN_ANSWERS = 3;

	private final SocketChannel channel;

	private final InputStream inputStream;

	private final OutputStream outputStream;

	private final SessionInputBufferImpl input = new SessionInputBufferImpl(new BasicHttpTransportMetrics(),
			BUFFER_BYTES, BUFFER_BYTES, LARGEST_LINE_BYTES, StandardCharsets.ISO_8859_1.newDecoder());

	private final SessionOutputBufferImpl output = new SessionOutputBufferImpl(BUFFER_BYTES,
			StandardCharsets.ISO_8859_1.newEncoder());

	private boolean doubtful;

	private BackendConnection(SocketChannel channel) throws IOException {
		this.channel = channel;
		this.inputStream = channel.socket().getInputStream();
		this.outputStream = channel.socket().getOutputStream();
	}

	static BackendConnection open(InetSocketAddress address, int timeoutMillis) throws IOException {
		SocketChannel channel = SocketChannel.open();
		try {
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			channel.socket().connect(address, timeoutMillis);
			return new BackendConnection(channel);
		}
		catch (IOException ex) {
			channel.close();
			throw ex;
		}
	}

	/**
	 * Sends a request and reads its answer.
	 * @param request the request
	 * @param mostBytes largest body of the answer
	 * @param memory bounds the bodies of all answers together
	 * @return the whole answer
	 * @throws IOException if the connection breaks or the answer is malformed or too
	 * large
	 */
	BackendResponse exchange(BackendRequest request, int mostBytes, BodyMemory memory) throws IOException {
		this.doubtful = true;
		try {
			write(request);
			BackendResponse response = read(request, mostBytes, memory);
			this.doubtful = !response.framed() || response.headers().closesConnection() || this.input.hasBufferedData();
			return response;
		}
		catch (HttpException ex) {
			throw new IOException("the answer is malformed: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Tells whether another request may be sent. Bytes that arrived without a request, or
	 * the end of the stream, rule it out.
	 * @return true if the connection is open and quiet
	 */
	boolean isReusable() {
		if (this.doubtful || !this.channel.isOpen()) {
			return false;
		}
		try {
			this.channel.configureBlocking(false);
			boolean quiet = this.channel.read(ByteBuffer.allocate(1)) == 0;
			this.channel.configureBlocking(true);
			return quiet;
		}
		catch (IOException ex) {
			Logger.debug("node: An idle connection to the backend server broke: {}.", ex.getMessage());
			return false;
		}
	}

	@Override
	public void close() {
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			Logger.debug("node: Closing a connection to the backend server failed: {}.", ex.getMessage());
		}
	}

	private void write(BackendRequest request) throws IOException, HttpException {
		BasicClassicHttpRequest head = new BasicClassicHttpRequest(request.method(), request.target());
		request.headers().forEach(head::addHeader);
		if (request.body().length > 0 || !isBodiless(request.method())) {
			head.addHeader("Content-Length", request.body().length);
		}
		new DefaultHttpRequestWriter().write(head, this.output, this.outputStream);
		this.output.write(request.body(), this.outputStream);
		this.output.flush(this.outputStream);
	}

	private static boolean isBodiless(String method) {
		return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE") || method.equals("OPTIONS");
	}

	private BackendResponse read(BackendRequest request, int mostBytes, BodyMemory memory)
			throws IOException, HttpException {
		for (int foreign = 0; foreign <= MOST_FOREIGN_ANSWERS; foreign++) {
			ClassicHttpResponse head = readHead();
			HeaderFields headers = HeaderFields.ofFields(head.getHeaders());
			BackendResponse response = readBody(request.method(), head, headers, mostBytes, memory);
			if (request.isAnswer().test(headers)) {
				return response;
			}
			if (!response.framed()) {
				throw new ProtocolException("the answer belongs to another request");
			}
			Logger.warn("node: Dropped an answer of the backend server with status {} to another request.",
					response.status());
		}
		throw new ProtocolException("only answers to other requests arrive");
	}

	private ClassicHttpResponse readHead() throws IOException, HttpException {
		HeadStream stream = new HeadStream(this.inputStream, LARGEST_HEAD_BYTES);
		ClassicHttpResponse head = new DefaultHttpResponseParser().parse(this.input, stream);
		while (head.getCode() < HttpStatus.SC_SUCCESS) {
			head = new DefaultHttpResponseParser().parse(this.input, stream);
		}
		return head;
	}

	private BackendResponse readBody(String method, ClassicHttpResponse head, HeaderFields headers, int mostBytes,
			BodyMemory memory) throws IOException, HttpException {
		int status = head.getCode();
		if (method.equals("HEAD") || MessageBody.isForbidden(status)) {
			return new BackendResponse(status, headers, new byte[0], true);
		}
		byte[] body = MessageBody.readAnswer(head, this.input, this.inputStream, mostBytes, memory);
		if (body == null) {
			throw new ProtocolException("the body is over " + mostBytes + " bytes");
		}
		return new BackendResponse(status, headers, body, MessageBody.isFramed(head));
	}

}
