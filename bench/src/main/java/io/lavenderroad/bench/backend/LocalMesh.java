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
 * Nodes with stub backend servers in one process, connected by real sockets on the
 * loopback address. The configuration is set directly, without control and distribution.
 */
public final class LocalMesh implements AutoCloseable {

	/**
	 * Name of the only service of this mesh.
	 */
	public static final String SERVICE = "catalogue";

	private static final String LOOPBACK = InetAddress.getLoopbackAddress().getHostAddress();

	/**
	 * Timeout of routes, of connecting and of silent connections, long enough that the
	 * load of the machine does not affect the result of a test. Benchmarks set a deadline
	 * with each request.
	 */
	static final int TIMEOUT_MILLIS = 20_000;

	private final FixedView view = new FixedView();

	private final Map<String, Member> members = new LinkedHashMap<>();

	private final List<AutoCloseable> resources = new ArrayList<>();

	/**
	 * Creates a mesh without nodes, whose service has the default routes and one version,
	 * {@code v1}.
	 */
	public LocalMesh() {
		configure((service) -> service);
	}

	/**
	 * Activates a modified configuration of the service.
	 * @param change modifies the default service
	 */
	public void configure(UnaryOperator<ServiceConfiguration.Builder> change) {
		long version = this.view.configuration().map(MeshConfiguration::version).orElse(0L) + 1;
		this.view.configure(configuration(version, change));
	}

	/**
	 * Adds a host route to the active configuration.
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
	 * @param slots number of slots that the node announces and admits
	 * @param change modifies the node before it starts
	 * @return the running member
	 * @throws IOException if an address cannot be bound
	 */
	public Member start(String id, String version, String failureDomain, Behaviour behaviour, int slots,
			UnaryOperator<NodeProxy.Builder> change) throws IOException {
		StandInBackend backend = StandInBackend.start(id, new InetSocketAddress(LOOPBACK, 0), behaviour);
		return start(id, version, failureDomain, backend, slots, change);
	}

	/**
	 * Starts a node for a running local backend server and announces it as ready.
	 * @param id id of the node
	 * @param version backend server version
	 * @param failureDomain failure domain of the node
	 * @param backend the backend server
	 * @param slots number of slots that the node announces and admits
	 * @param change modifies the node before it starts
	 * @return the running member
	 * @throws IOException if an address cannot be bound
	 */
	public Member start(String id, String version, String failureDomain, StandInBackend backend, int slots,
			UnaryOperator<NodeProxy.Builder> change) throws IOException {
		Clock clock = Clock.system();
		long incarnation = clock.millis();
		DeferredHandler deferredHandler = new DeferredHandler();
		WireOptions options = WireOptions.builder()
			.hello(new Hello("bench", id, "node", incarnation, ""))
			.catalog(MessageCatalog.builder().addAll(NodeMessages.types()).build())
			.clock(clock)
			.connectTimeoutMillis(TIMEOUT_MILLIS)
			.receiveTimeoutMillis(TIMEOUT_MILLIS)
			.build();
		FrameServer frames = FrameServer.start(new InetSocketAddress(LOOPBACK, 0), options, deferredHandler);
		Endpoint self = new Endpoint(id, incarnation, 1, EndpointState.READY, SERVICE, version, "gauteng",
				failureDomain, LOOPBACK + ":" + frames.address().getPort(), slots, 100, "");
		NodeProxy.Builder builder = NodeProxy.builder()
			.view(this.view)
			.self(self)
			.clock(clock)
			.callerAddress(new InetSocketAddress(LOOPBACK, 0))
			.wireOptions(options)
			.backendAddress(LOOPBACK + ":" + backend.address().getPort());
		NodeProxy proxy = change.apply(builder).start();
		deferredHandler.set(proxy.handler());
		Member member = new Member(self, proxy, frames, backend);
		this.members.put(id, member);
		this.resources.addAll(List.of(proxy::stop, frames, backend));
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
		for (AutoCloseable resource : this.resources) {
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
	 * @param frames server that receives frames from other nodes
	 * @param backend the backend server
	 */
	public record Member(Endpoint self, NodeProxy proxy, FrameServer frames, StandInBackend backend) {

		/**
		 * Returns the address to which callers of this node send requests.
		 * @return address of the form {@code http://ip:port}
		 */
		public String url() {
			return "http://" + LOOPBACK + ":" + this.proxy.callerAddress().getPort();
		}

		/**
		 * Stops the node immediately, as a crash would; the backend server keeps running.
		 */
		public void crash() {
			this.frames.close();
			this.proxy.stop();
		}

	}

	/**
	 * Delegates to a handler that is set later. The frame server starts before the node,
	 * because the announcement of the node needs its port.
	 */
	static final class DeferredHandler implements ConnectionHandler {

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
