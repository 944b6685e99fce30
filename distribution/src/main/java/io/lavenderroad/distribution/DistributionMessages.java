package io.lavenderroad.distribution;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageType;
import io.lavenderroad.model.ConfigurationDelta;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Scope;
import io.lavenderroad.model.binding.ConfigurationBinding;
import io.lavenderroad.model.binding.StateBinding;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Messages between the processes of the relay tree, codes 200 to 249.
 */
public final class DistributionMessages {

	private DistributionMessages() {
	}

	/**
	 * Returns the message types for the catalog of a process.
	 * @return types with codes 200 to 249
	 */
	public static List<MessageType<?>> types() {
		return List.of(
				new MessageType<>(200, Attach.class, DistributionMessages::packAttach, (unpacker) -> attach(unpacker)),
				new MessageType<>(201, Accepted.class, DistributionMessages::packAccepted,
						(unpacker) -> accepted(unpacker)),
				new MessageType<>(202, Redirected.class, (message, packer) -> packHops(message.targets(), packer),
						(unpacker) -> new Redirected(hops(unpacker))),
				new MessageType<>(203, Deferred.class,
						(message, packer) -> packer.packLong(message.retryAfterMillis()).packString(message.reason()),
						(unpacker) -> new Deferred(unpacker.unpackLong(), unpacker.unpackString())),
				new MessageType<>(204, Subscribe.class, DistributionMessages::packSubscribe,
						(unpacker) -> subscribe(unpacker)),
				new MessageType<>(205, SubscribeAgain.class, (message, packer) -> packer.packBoolean(message.whole()),
						(unpacker) -> new SubscribeAgain(unpacker.unpackBoolean())),
				new MessageType<>(206, WholeSlice.class, DistributionMessages::packWholeSlice,
						(unpacker) -> new WholeSlice(unpacker.unpackBoolean(), unpacker.unpackString(),
								UpdateBody.unpack(unpacker, ConfigurationBinding::unpackConfiguration))),
				new MessageType<>(207, Delta.class, (message, packer) -> message.body().pack(packer),
						(unpacker) -> new Delta(UpdateBody.unpack(unpacker, ConfigurationBinding::unpackDelta))),
				new MessageType<>(208, Advance.class,
						(message, packer) -> packer.packLong(message.fromVersion()).packLong(message.toVersion()),
						(unpacker) -> new Advance(unpacker.unpackLong(), unpacker.unpackLong())),
				new MessageType<>(209, ParentHeartbeat.class,
						(message, packer) -> packer.packLong(message.version()).packLong(message.rootAgeMillis()),
						(unpacker) -> new ParentHeartbeat(unpacker.unpackLong(), unpacker.unpackLong())),
				new MessageType<>(210, ChildHeartbeat.class,
						(message, packer) -> packer.packLong(message.version()).packLong(message.oldestVersion()),
						(unpacker) -> new ChildHeartbeat(unpacker.unpackLong(), unpacker.unpackLong())),
				new MessageType<>(211, EndpointUpdate.class,
						(message, packer) -> Fields.packList(packer, message.endpoints(), StateBinding::packEndpoint),
						(unpacker) -> new EndpointUpdate(StateBinding.unpackEndpoints(unpacker))),
				new MessageType<>(212, RegistryDigests.class,
						(message, packer) -> Fields.packMap(packer, message.digests(),
								(digest, target) -> target.packLong(digest)),
						(unpacker) -> new RegistryDigests(Fields.unpackMap(unpacker, MessageUnpacker::unpackLong))),
				new MessageType<>(213, RegistryRequest.class,
						(message, packer) -> packNames(message.services(), packer),
						(unpacker) -> new RegistryRequest(names(unpacker))),
				new MessageType<>(214, PathUpdate.class, (message, packer) -> packHops(message.path(), packer),
						(unpacker) -> new PathUpdate(hops(unpacker))),
				new MessageType<>(215, FloorRequest.class, (message, packer) -> packer.packBoolean(message.forwarded()),
						(unpacker) -> new FloorRequest(unpacker.unpackBoolean())),
				new MessageType<>(216, FloorAnswer.class,
						(message, packer) -> packer.packBoolean(message.confirmed()).packLong(message.version()),
						(unpacker) -> new FloorAnswer(unpacker.unpackBoolean(), unpacker.unpackLong())),
				new MessageType<>(217, Report.class, DistributionMessages::packReport, (unpacker) -> report(unpacker)),
				new MessageType<>(218, ReportAcknowledged.class,
						(message, packer) -> packer.packLong(message.sequence()),
						(unpacker) -> new ReportAcknowledged(unpacker.unpackLong())),
				new MessageType<>(219, Leaving.class, (message, packer) -> packer.packString(message.reason()),
						(unpacker) -> new Leaving(unpacker.unpackString())),
				new MessageType<>(220, PeerHello.class,
						(message, packer) -> packer.packString(message.memberId()).packLong(message.incarnation()),
						(unpacker) -> new PeerHello(unpacker.unpackString(), unpacker.unpackLong())),
				new MessageType<>(221, Roots.class, (message, packer) -> packNames(message.addresses(), packer),
						(unpacker) -> new Roots(names(unpacker))),
				new MessageType<>(222, RootProgress.class,
						(message, packer) -> packer.packLong(message.oldestVersion()),
						(unpacker) -> new RootProgress(unpacker.unpackLong())));
	}

	private static void packAttach(Attach message, MessagePacker packer) throws IOException {
		packer.packString(message.nodeId());
		packer.packLong(message.incarnation());
		packer.packString(message.region());
		packer.packString(message.failureDomain());
		packer.packString(message.frameAddress());
		packNames(message.avoided(), packer);
	}

	private static Attach attach(MessageUnpacker unpacker) throws IOException {
		return new Attach(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(),
				unpacker.unpackString(), unpacker.unpackString(), names(unpacker));
	}

	private static void packAccepted(Accepted message, MessagePacker packer) throws IOException {
		packHops(message.path(), packer);
		packer.packLong(message.version());
		packer.packLong(message.rootAgeMillis());
	}

	private static Accepted accepted(MessageUnpacker unpacker) throws IOException {
		return new Accepted(hops(unpacker), unpacker.unpackLong(), unpacker.unpackLong());
	}

	private static void packSubscribe(Subscribe message, MessagePacker packer) throws IOException {
		packer.packBoolean(message.scope().all());
		packNames(new TreeSet<>(message.scope().localServices()), packer);
		packer.packLong(message.version());
		packer.packString(message.digest());
		packer.packLong(message.namesDigest());
		packer.packBoolean(message.namesGiven());
		packNames(message.names(), packer);
		packer.packBoolean(message.whole());
		packer.packLong(message.registryDigest());
	}

	private static Subscribe subscribe(MessageUnpacker unpacker) throws IOException {
		Scope scope = new Scope(unpacker.unpackBoolean(), new TreeSet<>(names(unpacker)));
		return new Subscribe(scope, unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackLong(),
				unpacker.unpackBoolean(), names(unpacker), unpacker.unpackBoolean(), unpacker.unpackLong());
	}

	private static void packWholeSlice(WholeSlice message, MessagePacker packer) throws IOException {
		packer.packBoolean(message.everything());
		packer.packString(message.digest());
		message.body().pack(packer);
	}

	private static void packReport(Report message, MessagePacker packer) throws IOException {
		packer.packLong(message.sequence());
		message.status().pack(packer);
		StateBinding.packEvidence(message.evidence(), packer);
	}

	private static Report report(MessageUnpacker unpacker) throws IOException {
		return new Report(unpacker.unpackLong(), SubtreeStatus.unpack(unpacker), StateBinding.unpackEvidence(unpacker));
	}

	private static void packHops(List<Hop> hops, MessagePacker packer) throws IOException {
		Fields.packList(packer, hops, (hop, target) -> target.packString(hop.id()).packString(hop.address()));
	}

	private static List<Hop> hops(MessageUnpacker unpacker) throws IOException {
		return Fields.unpackList(unpacker, (source) -> new Hop(source.unpackString(), source.unpackString()));
	}

	private static void packNames(Collection<String> names, MessagePacker packer) throws IOException {
		Fields.packList(packer, names, (name, target) -> target.packString(name));
	}

	private static List<String> names(MessageUnpacker unpacker) throws IOException {
		return Fields.unpackList(unpacker, MessageUnpacker::unpackString);
	}

	/**
	 * One process on the path from a root.
	 *
	 * @param id id of the process
	 * @param address {@code ip:port} at which it accepts frames
	 */
	record Hop(String id, String address) {
	}

	/**
	 * Asks to become a child of the receiver.
	 *
	 * @param nodeId id of the caller
	 * @param incarnation start time of the caller in milliseconds since the epoch
	 * @param region region of the caller
	 * @param failureDomain failure domain of the caller
	 * @param frameAddress address at which the caller accepts frames
	 * @param avoided ids of processes that the caller could not attach to in this round
	 */
	record Attach(String nodeId, long incarnation, String region, String failureDomain, String frameAddress,
			List<String> avoided) implements DistributionMessage {
	}

	/**
	 * Accepts the caller as a child.
	 *
	 * @param path from the root to the parent, both included
	 * @param version active version of the parent
	 * @param rootAgeMillis age of the last root confirmation at the parent
	 */
	record Accepted(List<Hop> path, long version, long rootAgeMillis) implements DistributionMessage {
	}

	/**
	 * Redirects the caller to other parents.
	 *
	 * @param targets children of the receiver, best first
	 */
	record Redirected(List<Hop> targets) implements DistributionMessage {
	}

	/**
	 * Refuses the caller for now.
	 *
	 * @param retryAfterMillis time after which to retry
	 * @param reason short sentence for the logs
	 */
	record Deferred(long retryAfterMillis, String reason) implements DistributionMessage {
	}

	/**
	 * Subscribes to a slice and reports what the child holds. It replaces the state that
	 * the parent has of the child.
	 *
	 * @param scope services that the child needs
	 * @param version active version of the child, 0 for none
	 * @param digest digest of the active slice
	 * @param namesDigest digest of the names of the services held
	 * @param namesGiven whether the names are listed
	 * @param names names of the services held, if listed
	 * @param whole whether the child requests the whole slice
	 * @param registryDigest digest of the endpoints held, 0 for none
	 */
	record Subscribe(Scope scope, long version, String digest, long namesDigest, boolean namesGiven, List<String> names,
			boolean whole, long registryDigest) implements DistributionMessage {
	}

	/**
	 * Asks a child to subscribe again.
	 *
	 * @param whole true after a digest mismatch, false if only the names are needed
	 */
	record SubscribeAgain(boolean whole) implements DistributionMessage {
	}

	/**
	 * A whole slice.
	 *
	 * @param everything whether the slice contains all services of the mesh
	 * @param digest digest of the slice
	 * @param body the slice
	 */
	record WholeSlice(boolean everything, String digest,
			UpdateBody<MeshConfiguration> body) implements DistributionMessage {

		WholeSlice(boolean everything, String digest, MeshConfiguration configuration) {
			this(everything, digest, new UpdateBody<>(configuration, ConfigurationBinding::packConfiguration));
		}

		MeshConfiguration configuration() {
			return this.body.value();
		}

	}

	/**
	 * A change of a slice.
	 *
	 * @param body the change
	 */
	record Delta(UpdateBody<ConfigurationDelta> body) implements DistributionMessage {

		Delta(ConfigurationDelta delta) {
			this(new UpdateBody<>(delta, ConfigurationBinding::packDelta));
		}

		ConfigurationDelta delta() {
			return this.body.value();
		}

	}

	/**
	 * Announces a version that changes nothing in the slice.
	 *
	 * @param fromVersion active version of the child
	 * @param toVersion new version of the same slice
	 */
	record Advance(long fromVersion, long toVersion) implements DistributionMessage {
	}

	/**
	 * Heartbeat of a parent.
	 *
	 * @param version active version
	 * @param rootAgeMillis age of the last root confirmation
	 */
	record ParentHeartbeat(long version, long rootAgeMillis) implements DistributionMessage {
	}

	/**
	 * Heartbeat of a child, also sent when a version has become active.
	 *
	 * @param version active version
	 * @param oldestVersion oldest version that the child or a node below it serves,
	 * {@code Long.MAX_VALUE} if no node serves one
	 */
	record ChildHeartbeat(long version, long oldestVersion) implements DistributionMessage {
	}

	/**
	 * Announcements, in either direction.
	 *
	 * @param endpoints the announcements
	 */
	record EndpointUpdate(List<Endpoint> endpoints) implements DistributionMessage {
	}

	/**
	 * Digests of the endpoints of the sender in the scope of the receiver.
	 *
	 * @param digests digest by service
	 */
	record RegistryDigests(Map<String, Long> digests) implements DistributionMessage {
	}

	/**
	 * Asks for all endpoints of services.
	 *
	 * @param services names
	 */
	record RegistryRequest(List<String> services) implements DistributionMessage {
	}

	/**
	 * Announces a changed path from the root to the parent.
	 *
	 * @param path from the root to the parent, both included
	 */
	record PathUpdate(List<Hop> path) implements DistributionMessage {
	}

	/**
	 * Requests the minimum version that a node without a stored version may serve.
	 *
	 * @param forwarded whether a control member has forwarded the request already
	 */
	record FloorRequest(boolean forwarded) implements DistributionMessage {
	}

	/**
	 * Response to a request for the version floor.
	 *
	 * @param confirmed whether a quorum has confirmed the version
	 * @param version the floor
	 */
	record FloorAnswer(boolean confirmed, long version) implements DistributionMessage {
	}

	/**
	 * Reports the status of a subtree and the evidence since the last report.
	 *
	 * @param sequence number of the report; a resent report keeps its number
	 * @param status active versions, lagging nodes and rejected versions
	 * @param evidence evidence that no earlier report contained
	 */
	record Report(long sequence, SubtreeStatus status, Evidence evidence) implements DistributionMessage {
	}

	/**
	 * Confirms that a report was added.
	 *
	 * @param sequence number of the report
	 */
	record ReportAcknowledged(long sequence) implements DistributionMessage {
	}

	/**
	 * Announces that the sender is leaving. A child attaches elsewhere before the
	 * connection closes.
	 *
	 * @param reason short sentence for the logs
	 */
	record Leaving(String reason) implements DistributionMessage {
	}

	/**
	 * Announces the addresses of the control members. It is sent down the tree, so that
	 * nodes find the roots even after all members listed in their settings were replaced.
	 *
	 * @param addresses {@code ip:port} of each
	 */
	record Roots(List<String> addresses) implements DistributionMessage {
	}

	/**
	 * Reports the progress of the nodes below a control member.
	 *
	 * @param oldestVersion oldest version that one of them serves, {@code Long.MAX_VALUE}
	 * if no node serves one
	 */
	record RootProgress(long oldestVersion) implements DistributionMessage {
	}

	/**
	 * First request of a control member to another one; the response contains the digests
	 * of the receiver.
	 *
	 * @param memberId id of the sender
	 * @param incarnation start time of the sender in milliseconds since the epoch
	 */
	record PeerHello(String memberId, long incarnation) implements DistributionMessage {
	}

}
