package io.lavenderroad.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.lavenderroad.core.http.ResponseReader;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestWriter;
import org.apache.hc.core5.http.impl.io.SessionOutputBufferImpl;
import org.tinylog.Logger;

/**
 * One connection to the backend server, used by one request at a time. It is not reused
 * if the request and response streams may be out of step, for example after an error, a
 * response without framing or surplus bytes.
 *
 * <p>
 * A backend server may write a response a second time, also after the next request was
 * sent. A response that names another request is dropped. One that names no request is
 * dropped if earlier responses on the connection named theirs. A connection on which a
 * response was dropped is not reused. A refusal that is repeated must not be taken for
 * the answer to a request that runs: after a refusal that names no request the connection
 * is not reused, and a request is not sent again on a connection on which it was refused.
 */
final class BackendConnection implements AutoCloseable {

	private static final int BUFFER_BYTES = 4 * 1024;

	/**
	 * Maximum number of responses to other requests that are dropped before the exchange
	 * fails.
	 */
	private static final int MAXIMUM_MISMATCHED_RESPONSES = 3;

	/**
	 * Maximum number of refusals after which the connection is not reused.
	 */
	private static final int MAXIMUM_REFUSALS = 32;

	private final SocketChannel channel;

	private final OutputStream outputStream;

	private final ResponseReader reader;

	private final SessionOutputBufferImpl output = new SessionOutputBufferImpl(BUFFER_BYTES,
			StandardCharsets.ISO_8859_1.newEncoder());

	private final List<HeaderFields> refusals = new ArrayList<>();

	private boolean notReusable;

	private boolean responsesNameRequests;

	private boolean droppedResponse;

	private BackendConnection(SocketChannel channel) throws IOException {
		this.channel = channel;
		this.reader = new ResponseReader(channel.socket().getInputStream());
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
	 * Sends a request and reads its response.
	 * @param request the request
	 * @param maximumBytes maximum size of the response body
	 * @param account account that the memory of the body is reserved from
	 * @return the complete response
	 * @throws IOException if the connection fails or the response is malformed or too
	 * large
	 */
	BackendResponse exchange(BackendRequest request, int maximumBytes, CallerMemory.Account account)
			throws IOException {
		this.notReusable = true;
		try {
			write(request);
			BackendResponse response = read(request, maximumBytes, account);
			this.notReusable = !response.framed() || response.headers().closesConnection()
					|| this.reader.hasBufferedData() || this.droppedResponse || isUnsafeAfter(request, response);
			return response;
		}
		catch (HttpException ex) {
			throw new IOException("the answer is malformed: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns whether a request may be sent next.
	 * @param request the request
	 * @return true if the connection is reusable and the request was not refused on it
	 */
	boolean isReusableFor(BackendRequest request) {
		boolean refusedBefore = this.refusals.stream()
			.anyMatch((refusal) -> request.responseMatcher().apply(refusal) == ResponseMatch.SAME);
		return !refusedBefore && isReusable();
	}

	/**
	 * Returns whether another request may be sent. Unsolicited bytes or the end of the
	 * stream rule this out.
	 * @return true if the connection is open, in step and has no pending data
	 */
	boolean isReusable() {
		if (this.notReusable || !this.channel.isOpen()) {
			return false;
		}
		try {
			this.channel.configureBlocking(false);
			boolean noPendingData = this.channel.read(ByteBuffer.allocate(1)) == 0;
			this.channel.configureBlocking(true);
			return noPendingData;
		}
		catch (IOException ex) {
			Logger.debug("node: Idle connection to the backend server failed: {}.", ex.getMessage());
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
		RawTargetRequest head = new RawTargetRequest(request.method(), request.target());
		request.headers().forEach(head::addHeader);
		if (request.body().length > 0 || !definesNoContent(request.method())) {
			head.addHeader("Content-Length", request.body().length);
		}
		new DefaultHttpRequestWriter().write(head, this.output, this.outputStream);
		this.output.write(request.body(), this.outputStream);
		this.output.flush(this.outputStream);
	}

	private static boolean definesNoContent(String method) {
		return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE") || method.equals("OPTIONS");
	}

	private BackendResponse read(BackendRequest request, int maximumBytes, CallerMemory.Account account)
			throws IOException, HttpException {
		for (int mismatched = 0; mismatched <= MAXIMUM_MISMATCHED_RESPONSES; mismatched++) {
			ClassicHttpResponse head = this.reader.readHead();
			HeaderFields headers = HeaderFields.ofHeaders(head.getHeaders());
			BackendResponse response = readBody(request.method(), head, headers, maximumBytes, account);
			if (belongsTo(request, headers)) {
				return response;
			}
			if (!response.framed()) {
				throw new ProtocolException("the answer belongs to another request");
			}
			this.droppedResponse = true;
			Logger.warn("node: Dropped a backend server response with status {} that belongs to another request.",
					response.status());
		}
		throw new ProtocolException("only answers to other requests arrive");
	}

	private boolean belongsTo(BackendRequest request, HeaderFields responseHeaders) {
		return switch (request.responseMatcher().apply(responseHeaders)) {
			case SAME -> {
				this.responsesNameRequests = true;
				yield true;
			}
			case OTHER -> false;
			case UNNAMED -> !this.responsesNameRequests;
		};
	}

	private boolean isUnsafeAfter(BackendRequest request, BackendResponse response) {
		if (!request.refusalTest().test(response)) {
			return false;
		}
		this.refusals.add(response.headers());
		return this.refusals.size() > MAXIMUM_REFUSALS
				|| request.responseMatcher().apply(response.headers()) == ResponseMatch.UNNAMED;
	}

	private BackendResponse readBody(String method, ClassicHttpResponse head, HeaderFields headers, int maximumBytes,
			CallerMemory.Account account) throws IOException, HttpException {
		int status = head.getCode();
		if (method.equals("HEAD") || ResponseReader.isBodyForbidden(status)) {
			return new BackendResponse(status, headers, new byte[0], true);
		}
		byte[] body = MessageBody.readResponse(head, this.reader, maximumBytes, account);
		if (body == null) {
			throw new ProtocolException("the body is over " + maximumBytes + " bytes");
		}
		return new BackendResponse(status, headers, body, MessageBody.isFramed(head));
	}

}
