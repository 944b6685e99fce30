package io.lavenderroad.bench.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import io.lavenderroad.core.Clock;
import io.lavenderroad.core.wire.Connection;
import io.lavenderroad.core.wire.ConnectionHandler;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.Hello;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.RouteSet;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.node.NodeMessages;
import io.lavenderroad.node.NodeProxy;

/**
 * Nodes with stand-in backend servers in one process, connected by real sockets on the
 * loopback address. The configuration is set by hand in place of control and
 * distribution.
 */
public final class LocalMesh implements AutoCloseable {

	/**
	 * The one service of this mesh.
	 */
	public static final String SERVICE = "catalogue";

	private static final String ANY = InetAddress.getLoopbackAddress().getHostAddress();

	/**
	 * Long enough that a busy machine does not decide the outcome of a test. Benchmarks
	 * state their deadlines with each request.
	 */
	static final int TIMEOUT_MILLIS = 20_000;

	private final FixedView view = new FixedView();

	private final Map<String, Member> members = new LinkedHashMap<>();

	private final List<AutoCloseable> opened = new ArrayList<>();

	/**
	 * Creates a mesh whose service has the default routes and one version, {@code v1}.
	 */
	public LocalMesh() {
		configure((service) -> service);
	}

	/**
	 * Puts a changed configuration of the service in force.
	 * @param change changes the default service
	 */
	public void configure(UnaryOperator<ServiceConfiguration.Builder> change) {
		long version = this.view.configuration().map(MeshConfiguration::version).orElse(0L) + 1;
		this.view.configure(configuration(version, change));
	}

	/**
	 * Adds a route by host to the configuration in force.
	 * @param route the route
	 */
	public void route(HostRoute route) {
		MeshConfiguration base = this.view.configuration().orElseThrow();
		RouteSet routes = RouteSet.of(List.of(route), new TreeMap<>(), base.version());
		this.view.configure(MeshConfiguration.of(base.version() + 1, base.services().values(), routes, base.limits()));
	}

	static MeshConfiguration configuration(long version, UnaryOperator<ServiceConfiguration.Builder> change) {
		ServiceConfiguration.Builder service = ServiceConfiguration.builder(SERVICE)
			.team("gauteng")
			.openToCallers(true)
			.routes(List.of(new Route("orders", "POST", "/orders", false, TIMEOUT_MILLIS, 64 * 1024),
					new Route("items", Route.ANY_METHOD, "/items", true, TIMEOUT_MILLIS, 64 * 1024)))
			.versions(List.of("v1"))
			.split(Map.of("v1", ServiceConfiguration.FULL_SHARE_BASIS_POINTS));
		return MeshConfiguration.of(version, List.of(change.apply(service).build()));
	}

	/**
	 * Returns the view that all nodes share.
	 * @return the view
	 */
	public FixedView view() {
		return this.view;
	}

	/**
	 * Starts a backend server with its node and announces it as ready.
	 * @param id id of the node
	 * @param version backend server version
	 * @param failureDomain failure domain of the node
	 * @param behaviour behaviour of the backend server
	 * @param slots slots that the node admits
	 * @param change changes the node before it starts
	 * @return the running member
	 * @throws IOException if an address cannot be bound
	 */
	public Member start(String id, String version, String failureDomain, Behaviour behaviour, int slots,
			UnaryOperator<NodeProxy.Builder> change) throws IOException {
		StandInBackend backend = StandInBackend.start(id, new InetSocketAddress(ANY, 0), behaviour);
		return start(id, version, failureDomain, backend, slots, change);
	}

	/**
	 * Starts a node beside a running backend server and announces it as ready.
	 * @param id id of the node
	 * @param version backend server version
	 * @param failureDomain failure domain of the node
	 * @param backend the backend server
	 * @param slots slots that the node admits
	 * @param change changes the node before it starts
	 * @return the running member
	 * @throws IOException if an address cannot be bound
	 */
	public Member start(String id, String version, String failureDomain, StandInBackend backend, int slots,
			UnaryOperator<NodeProxy.Builder> change) throws IOException {
		Clock clock = Clock.system();
		long incarnation = clock.millis();
		Forwarder forwarder = new Forwarder();
		WireOptions options = WireOptions.builder()
			.hello(new Hello("bench", id, "node", incarnation, ""))
			.catalog(MessageCatalog.builder().addAll(NodeMessages.types()).build())
			.clock(clock)
			.connectTimeoutMillis(TIMEOUT_MILLIS)
			.receiveTimeoutMillis(TIMEOUT_MILLIS)
			.build();
		FrameServer frames = FrameServer.start(new InetSocketAddress(ANY, 0), options, forwarder);
		Endpoint self = new Endpoint(id, incarnation, 1, EndpointState.READY, SERVICE, version, "gauteng",
				failureDomain, ANY + ":" + frames.address().getPort(), slots, 100, "");
		NodeProxy.Builder builder = NodeProxy.builder()
			.view(this.view)
			.self(self)
			.clock(clock)
			.callerAddress(new InetSocketAddress(ANY, 0))
			.wireOptions(options)
			.backendAddress(ANY + ":" + backend.address().getPort());
		NodeProxy proxy = change.apply(builder).start();
		forwarder.set(proxy.handler());
		Member member = new Member(self, proxy, frames, backend);
		this.members.put(id, member);
		this.opened.addAll(List.of(proxy::stop, frames, backend));
		this.view.announce(self);
		return member;
	}

	/**
	 * Returns a running member.
	 * @param id id of the node
	 * @return the member
	 */
	public Member member(String id) {
		return this.members.get(id);
	}

	/**
	 * Returns the members.
	 * @return members in the order in which they started
	 */
	public List<Member> members() {
		return List.copyOf(this.members.values());
	}

	@Override
	public void close() {
		for (AutoCloseable resource : this.opened) {
			try {
				resource.close();
			}
			catch (Exception ex) {
				throw new IllegalStateException("closing failed", ex);
			}
		}
	}

	/**
	 * One node with its backend server.
	 *
	 * @param self announcement of the node
	 * @param proxy the node
	 * @param frames server for frames of other nodes
	 * @param backend the backend server
	 */
	public record Member(Endpoint self, NodeProxy proxy, FrameServer frames, StandInBackend backend) {

		/**
		 * Returns where callers send requests to this node.
		 * @return address of the form {@code http://ip:port}
		 */
		public String url() {
			return "http://" + ANY + ":" + this.proxy.callerAddress().getPort();
		}

		/**
		 * Stops the node at once, as a crash does; the backend server goes on.
		 */
		public void crash() {
			this.frames.close();
			this.proxy.stop();
		}

	}

	/**
	 * Lets the frame server start before the node, whose announcement needs the port.
	 */
	static final class Forwarder implements ConnectionHandler {

		private volatile ConnectionHandler target;

		void set(ConnectionHandler handler) {
			this.target = handler;
		}

		@Override
		public void received(Connection connection, Object message) {
			this.target.received(connection, message);
		}

		@Override
		public Object answer(Connection connection, Object request) {
			return this.target.answer(connection, request);
		}

		@Override
		public void closed(Connection connection, String reason) {
			this.target.closed(connection, reason);
		}

	}

}
