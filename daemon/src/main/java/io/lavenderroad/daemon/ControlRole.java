package io.lavenderroad.daemon;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import com.sun.net.httpserver.HttpHandler;
import io.lavenderroad.control.api.ConvergenceView;
import io.lavenderroad.control.api.OperatorApi;
import io.lavenderroad.control.log.DurableLog;
import io.lavenderroad.control.log.StorageFileSystem;
import io.lavenderroad.control.quota.QuotaGranter;
import io.lavenderroad.control.quota.QuotaMetrics;
import io.lavenderroad.control.raft.ControlMember;
import io.lavenderroad.control.raft.ControlMessages;
import io.lavenderroad.control.raft.GroupJoin;
import io.lavenderroad.control.raft.GroupLeave;
import io.lavenderroad.control.raft.JoinRequest;
import io.lavenderroad.control.raft.LeaderClient;
import io.lavenderroad.control.raft.Member;
import io.lavenderroad.control.raft.MemberOptions;
import io.lavenderroad.control.raft.MemberSet;
import io.lavenderroad.control.state.Acknowledgement;
import io.lavenderroad.control.state.ChangeService;
import io.lavenderroad.control.state.DeclarationService;
import io.lavenderroad.control.state.DepartureService;
import io.lavenderroad.control.state.EvacuationOrders;
import io.lavenderroad.control.state.MeshStateMachine;
import io.lavenderroad.control.state.MoveOrders;
import io.lavenderroad.control.state.MoveService;
import io.lavenderroad.core.Clock;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.kernel.Kernel;
import io.lavenderroad.core.wire.DispatchingHandler;
import io.lavenderroad.core.wire.FrameServer;
import io.lavenderroad.core.wire.WireOptions;
import io.lavenderroad.distribution.ConvergenceStatus;
import io.lavenderroad.distribution.DistributionMessages;
import io.lavenderroad.distribution.RootDistribution;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.departure.DepartureAnswer;
import io.lavenderroad.model.departure.DepartureMessages;
import io.lavenderroad.policy.moves.MovePolicy;
import io.lavenderroad.policy.quota.QuotaMessages;
import org.tinylog.Logger;

/**
 * A control member: replicated log, mesh state machine, root of the relay tree, move
 * controller and operators' API.
 */
final class ControlRole implements RunningRole {

	private static final long SEGMENT_BYTES = 16 * 1024 * 1024;

	private static final long MOVE_TICK_INTERVAL_MILLIS = 250;

	private static final long PEER_UPDATE_INTERVAL_MILLIS = 500;

	private static final long JOIN_INTERVAL_MILLIS = 500;

	/**
	 * Maximum time for a joining process to catch up. A process that fails meanwhile must
	 * not delay the others for long.
	 */
	private static final long CATCH_UP_TIMEOUT_MILLIS = 5_000;

	private static final long SHUTDOWN_TIMEOUT_MILLIS = 5_000;

	/**
	 * Part of the shutdown timeout for leaving the group. It covers an election.
	 */
	private static final long LEAVE_TIMEOUT_MILLIS = 3_000;

	private final Clock clock;

	private final DurableLog log;

	private final ControlMember<RaftCommandLog.StateMachineAdapter> member;

	private final RootDistribution root;

	private final LeaderMoveRunner moveRunner;

	private final QuotaGranter quotas;

	private final LeaderClient leaderClient;

	private final FrameServer server;

	private final OperatorApi api;

	private final AdminServer admin;

	private final PeriodicTask moveTask;

	private final PeriodicTask peersTask;

	private final MemberIdentity identity;

	private final Optional<PeriodicTask> joinTask;

	private final Optional<GroupLeave> leave;

	private volatile DaemonSettings settings;

	/**
	 * Addresses of the members that the root connects to. Only the peers task changes it
	 * after the start.
	 */
	private List<String> peerAddresses;

	private ControlRole(DaemonSettings settings, Kernel kernel) throws IOException {
		Clock clock = Clock.system();
		this.clock = clock;
		RandomGenerator random = new Random();
		MeshStateMachine mesh = new MeshStateMachine();
		this.settings = settings;
		this.identity = MemberIdentity.loadOrCreate(settings, clock);
		this.peerAddresses = initialPeers(settings);
		WireOptions options = WireOptionsFactory.create(settings, this.identity.id(), clock, ControlMessages.types(),
				DistributionMessages.types(), QuotaMessages.types(), DepartureMessages.types());
		this.log = DurableLog.open(StorageFileSystem.disk(), settings.dataFolder().orElseThrow(), SEGMENT_BYTES);
		this.member = member(settings, clock, random, mesh);
		RaftCommandLog commands = new RaftCommandLog(this.member, settings.httpAddress().getPort());
		MoveService moveService = new MoveService(commands, clock);
		MoveOrders orders = new MoveOrders(mesh, commands, commands, clock);
		this.root = RootDistribution.builder()
			.options(options)
			.clock(clock)
			.random(random)
			.peers(this.peerAddresses)
			.confirmCommittedVersion(() -> confirmedVersion(commands, mesh))
			.quorumAgeMillis(this.member::quorumContactAgeMillis)
			.evidenceListener(this::addEvidence)
			.build();
		this.moveRunner = LeaderMoveRunner.create(mesh, moveService,
				(service) -> this.root.registry().unexpired(service), kernel, clock);
		mesh.onConfiguration(this.root::publish);
		this.member.addLeadershipListener(this.moveRunner::leadershipChanged);
		this.quotas = new QuotaGranter(clock, () -> mesh.configuration().teams(), this.member::leaderQuorumAgeMillis,
				this::otherLeader);
		this.member.addLeadershipListener(this.quotas::leadershipChanged);
		this.leaderClient = new LeaderClient(options, this.member.handler(), this::otherLeader);
		DepartureService departures = new DepartureService(mesh, commands, commands, clock,
				(request) -> this.leaderClient.call(request, DepartureAnswer.class));
		DispatchingHandler handler = DispatchingHandler.builder()
			.add(ControlMessages.types(), this.member.handler())
			.add(DistributionMessages.types(), this.root.handler())
			.add(QuotaMessages.types(), this.quotas)
			.add(DepartureMessages.types(), departures)
			.build();
		this.server = FrameServer.start(settings.socketAddress(settings.ports().framesBind()), options, handler);
		this.member.start(options);
		this.root.publish(mesh.configuration());
		this.root.start();
		ControlMetrics metrics = new ControlMetrics(this.member::status, mesh, this.root::status,
				() -> QuotaMetrics.text(this.quotas.uses()));
		Acknowledgement acknowledgement = new Acknowledgement(this.root::awaitActive, clock);
		EvacuationOrders evacuations = evacuations(mesh, commands, acknowledgement);
		this.api = api(kernel, clock, mesh, commands, moveService, evacuations, metrics, acknowledgement);
		this.api.addHandlers(pages(kernel, new DeclarationService(mesh, commands, commands, clock, acknowledgement),
				orders, evacuations));
		this.api.teamUses(this.quotas::uses);
		this.api.start(settings.httpAddress());
		this.admin = AdminServer.start(settings.socketAddress(settings.ports().admin()), this::status, metrics::text);
		InitialVersionRecorder initialVersionRecorder = new InitialVersionRecorder(mesh,
				(service) -> this.root.registry().unexpired(service), orders);
		this.moveTask = PeriodicTask.start("moves", MOVE_TICK_INTERVAL_MILLIS, () -> {
			if (this.moveRunner.isLeading()) {
				initialVersionRecorder.recordMissing();
			}
			this.moveRunner.tick();
		});
		// A member that was in the group before finds the other members in its log.
		updatePeers();
		this.peersTask = PeriodicTask.start("peers", PEER_UPDATE_INTERVAL_MILLIS, this::updatePeers);
		this.joinTask = settings.group()
			.map((group) -> PeriodicTask.start("join", JOIN_INTERVAL_MILLIS, join(options, random)));
		this.leave = settings.group().map((group) -> new GroupLeave(this.member, clock, options, this.identity.id()));
	}

	@Override
	public void reload(DaemonSettings changed) {
		this.settings = changed;
	}

	static RunningRole start(DaemonSettings settings, Kernel kernel) throws IOException {
		return new ControlRole(settings, kernel);
	}

	@Override
	public void shutDown() {
		this.moveTask.close();
		this.peersTask.close();
		this.joinTask.ifPresent(PeriodicTask::close);
		this.api.close();
		long end = this.clock.millis() + SHUTDOWN_TIMEOUT_MILLIS;
		this.leave.ifPresent((action) -> action.leave(LEAVE_TIMEOUT_MILLIS));
		this.member.shutdown(end - this.clock.millis());
		this.root.close();
		this.leaderClient.close();
		this.server.close();
		this.admin.close();
		this.log.close();
	}

	private ControlMember<RaftCommandLog.StateMachineAdapter> member(DaemonSettings settings, Clock clock,
			RandomGenerator random, MeshStateMachine mesh) {
		List<Member> voters = this.identity.founders(settings);
		MemberOptions.Builder options = MemberOptions.builder();
		settings.group()
			.ifPresent((group) -> options.targetVoters(group.voters()).catchUpTimeoutMillis(CATCH_UP_TIMEOUT_MILLIS));
		return ControlMember.<RaftCommandLog.StateMachineAdapter>builder()
			.id(this.identity.id())
			.initialMembers(voters.isEmpty() ? MemberSet.empty() : MemberSet.of(voters))
			.options(options.build())
			.clock(clock)
			.random(random)
			.log(this.log)
			.stateMachine(new RaftCommandLog.StateMachineAdapter(mesh))
			.build();
	}

	private OperatorApi api(Kernel kernel, Clock clock, MeshStateMachine mesh, RaftCommandLog commands,
			MoveService moveService, EvacuationOrders evacuations, ControlMetrics metrics,
			Acknowledgement acknowledgement) {
		Predicate<String> isRegisteredPolicy = (name) -> kernel.find(MovePolicy.EXTENSION_POINT, name).isPresent();
		ChangeService changes = new ChangeService(mesh, commands, commands, isRegisteredPolicy, clock, acknowledgement);
		OperatorApi operatorApi = new OperatorApi(mesh, changes, moveService, evacuations, commands,
				new RaftAdministration(this.member, commands), this::convergence, metrics::text);
		return operatorApi;
	}

	private EvacuationOrders evacuations(MeshStateMachine mesh, RaftCommandLog commands,
			Acknowledgement acknowledgement) {
		return EvacuationOrders.builder(mesh)
			.log(commands, commands)
			.clock(this.clock)
			.acknowledgement(acknowledgement)
			.configuredDomains(() -> this.settings.failureDomains())
			.endpoints(() -> this.root.registry().unexpired())
			.build();
	}

	private GroupJoin join(WireOptions options, RandomGenerator random) {
		return new GroupJoin(this.member, options, random,
				() -> this.settings.seeds().stream().map(MemberIdentity::format).toList(),
				new JoinRequest(this.identity.id(), this.settings.frameAddress()));
	}

	private Map<String, HttpHandler> pages(Kernel kernel, DeclarationService declarations, MoveOrders orders,
			EvacuationOrders evacuations) {
		return this.settings.interfaceName()
			.map((name) -> kernel.find(ControlInterface.EXTENSION_POINT, name)
				.orElseThrow(() -> new LavenderroadException("interface '" + name + "' is not registered")))
			.map((controlInterface) -> controlInterface.pages(declarations, orders, evacuations))
			.orElse(Map.of());
	}

	private void addEvidence(Evidence evidence) {
		this.moveRunner.add(evidence);
	}

	private ConvergenceView.Convergence convergence() {
		ConvergenceStatus status = this.root.status();
		return new ConvergenceView.Convergence(status.versions(),
				status.laggingNodes()
					.stream()
					.map((node) -> new ConvergenceView.LaggingNode(node.nodeId(), node.version(), 0))
					.toList(),
				status.rejected()
					.stream()
					.map((rejected) -> new ConvergenceView.RejectedVersion(rejected.nodeId(), rejected.version(),
							rejected.reason()))
					.toList());
	}

	/**
	 * Connects the root to the current members of the group. The settings name only the
	 * first members, and none for a member that joins.
	 */
	private void updatePeers() {
		List<String> current = this.member.status()
			.members()
			.members()
			.stream()
			.filter((other) -> !other.id().equals(this.identity.id()))
			.map(Member::address)
			.toList();
		// A member that waits to be added has no member list yet.
		if (!current.isEmpty() && !current.equals(this.peerAddresses)) {
			this.peerAddresses = current;
			this.root.peers(current);
			Logger.info("daemon: Connecting to the control members at {}.", String.join(", ", current));
		}
	}

	private Optional<String> otherLeader() {
		return this.member.status()
			.leader()
			.filter((leader) -> !leader.id().equals(this.identity.id()))
			.map(Member::address);
	}

	private Map<String, Object> status() {
		Map<String, Object> status = new TreeMap<>();
		status.put("distribution", this.root.status());
		status.put("role", this.member.status().role().name());
		return status;
	}

	private static Optional<Long> confirmedVersion(RaftCommandLog commands, MeshStateMachine mesh) {
		return commands.confirm().toJavaOptional().map((index) -> mesh.configuration().version());
	}

	private static List<String> initialPeers(DaemonSettings settings) {
		return settings.members()
			.stream()
			.filter((member) -> !member.id().equals(settings.id()))
			.map(DaemonSettings.MemberSettings::address)
			.toList();
	}

}
