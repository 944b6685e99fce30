package io.lavenderroad.model.binding;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageEncoder;
import io.lavenderroad.core.wire.WireException;
import io.lavenderroad.model.CallRules;
import io.lavenderroad.model.CallerLimits;
import io.lavenderroad.model.ColdStart;
import io.lavenderroad.model.ConfigurationDelta;
import io.lavenderroad.model.ConfigurationEdit;
import io.lavenderroad.model.Evacuations;
import io.lavenderroad.model.HostRoute;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.MoveParameters;
import io.lavenderroad.model.Route;
import io.lavenderroad.model.RouteSet;
import io.lavenderroad.model.ServiceConfiguration;
import io.lavenderroad.model.ServiceLimits;
import io.lavenderroad.model.Team;
import io.lavenderroad.model.TeamEdit;
import io.lavenderroad.model.TeamSet;
import io.lavenderroad.model.ThinEvidence;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * MessagePack binding of the configuration. Encoding is deterministic, since digests are
 * computed over the encoded form. Content is written in the oldest format that can hold
 * it: without teams, evacuations, cold starts and routes for anonymous callers, bytes and
 * digests are those of programs that do not know these features, so that the processes of
 * a mesh can be updated one by one.
 */
public final class ConfigurationBinding {

	/**
	 * Number of parts of an encoded configuration. A configuration that was encoded
	 * before teams existed begins with its version and not with this number.
	 */
	private static final int CONFIGURATION_PARTS = 8;

	private static final int EDIT_FORMAT = 2;

	private static final int ROUTE_FORMAT = 2;

	private static final int SERVICE_FORMAT = 2;

	private ConfigurationBinding() {
	}

	/**
	 * Returns the digest of the content of a configuration. The version is not part of
	 * it.
	 * @param configuration the configuration
	 * @return the SHA-256 digest in lower-case hexadecimal
	 */
	public static String digest(MeshConfiguration configuration) {
		MessageDigest digest = sha256();
		for (ServiceConfiguration service : configuration.services().values()) {
			digest.update(service.name().getBytes(StandardCharsets.UTF_8));
			digest.update(service.digest());
		}
		digest.update(ByteBuffer.allocate(Long.BYTES).putLong(0, configuration.routes().fingerprint()));
		digest.update(toBytes(configuration.limits(), ConfigurationBinding::packCallerLimits));
		for (Team team : configuration.teams().all()) {
			digest.update(toBytes(team, TeamBinding::packTeam));
		}
		for (String failureDomain : configuration.evacuations().failureDomains()) {
			digest.update(failureDomain.getBytes(StandardCharsets.UTF_8));
			digest.update((byte) 0);
		}
		return HexFormat.of().formatHex(digest.digest());
	}

	/**
	 * Returns the SHA-256 digest of bytes.
	 * @param bytes the bytes
	 * @return the digest, 32 bytes
	 */
	public static byte[] sha256(byte[] bytes) {
		return sha256().digest(bytes);
	}

	/**
	 * Encodes a service without using its cached form.
	 * @param service the service
	 * @return the MessagePack form
	 */
	public static byte[] encode(ServiceConfiguration service) {
		return toBytes(service, ConfigurationBinding::packServiceFields);
	}

	/**
	 * Encodes a route without using its cached form.
	 * @param route the route
	 * @return the MessagePack form
	 */
	public static byte[] encode(HostRoute route) {
		return toBytes(route, ConfigurationBinding::packHostRouteFields);
	}

	/**
	 * Encodes a value into a new array.
	 * @param <T> type of the value
	 * @param value the value
	 * @param encoder writes the value to a packer
	 * @return the encoded bytes
	 * @throws UncheckedIOException if the encoder fails
	 */
	public static <T> byte[] toBytes(T value, MessageEncoder<T> encoder) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			encoder.encode(value, packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to encode a value into memory", ex);
		}
	}

	/**
	 * Writes a configuration.
	 * @param configuration the configuration
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packConfiguration(MeshConfiguration configuration, MessagePacker packer) throws IOException {
		boolean hasTeams = needsTeams(configuration);
		if (hasTeams) {
			packer.packArrayHeader(CONFIGURATION_PARTS);
		}
		packer.packLong(configuration.version());
		Fields.packList(packer, configuration.services().values(), ConfigurationBinding::packService);
		RouteSet routes = configuration.routes();
		Fields.packList(packer, routes.all(), ConfigurationBinding::packHostRoute);
		packer.packLong(routes.removalsCompleteFrom());
		Fields.packMap(packer, routes.removals(), (removalVersion, target) -> target.packLong(removalVersion));
		packCallerLimits(configuration.limits(), packer);
		if (hasTeams) {
			TeamBinding.packTeams(configuration.teams(), packer);
			TeamBinding.packEvacuations(configuration.evacuations(), packer);
		}
	}

	private static boolean needsTeams(MeshConfiguration configuration) {
		TeamSet teams = configuration.teams();
		return !teams.isEmpty() || teams.lastRemovalVersion() > 0 || configuration.evacuations().modifiedVersion() > 0;
	}

	/**
	 * Reads a configuration.
	 * @param unpacker source of the encoded form
	 * @return the configuration
	 * @throws IOException if the input is truncated
	 */
	public static MeshConfiguration unpackConfiguration(MessageUnpacker unpacker) throws IOException {
		boolean hasTeams = unpacker.getNextFormat().getValueType() == ValueType.ARRAY;
		if (hasTeams && unpacker.unpackArrayHeader() != CONFIGURATION_PARTS) {
			throw new WireException("a configuration does not have " + CONFIGURATION_PARTS + " parts");
		}
		long version = unpacker.unpackLong();
		List<ServiceConfiguration> services = Fields.unpackList(unpacker, ConfigurationBinding::unpackService);
		List<HostRoute> routes = Fields.unpackList(unpacker, ConfigurationBinding::unpackHostRoute);
		long removalsCompleteFrom = unpacker.unpackLong();
		SortedMap<String, Long> removals = Fields.unpackMap(unpacker, MessageUnpacker::unpackLong);
		CallerLimits limits = unpackCallerLimits(unpacker);
		TeamSet teams = hasTeams ? TeamBinding.unpackTeams(unpacker) : TeamSet.EMPTY;
		Evacuations evacuations = hasTeams ? TeamBinding.unpackEvacuations(unpacker) : Evacuations.NONE;
		return MeshConfiguration.of(version, services, RouteSet.of(routes, removals, removalsCompleteFrom), limits,
				teams, evacuations);
	}

	/**
	 * Writes a delta.
	 * @param delta the delta
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packDelta(ConfigurationDelta delta, MessagePacker packer) throws IOException {
		packer.packLong(delta.fromVersion());
		packer.packLong(delta.toVersion());
		packEdit(delta.edit(), packer);
		packer.packString(delta.digest());
	}

	/**
	 * Reads a delta.
	 * @param unpacker source of the encoded form
	 * @return the delta
	 * @throws IOException if the input is truncated
	 */
	public static ConfigurationDelta unpackDelta(MessageUnpacker unpacker) throws IOException {
		return new ConfigurationDelta(unpacker.unpackLong(), unpacker.unpackLong(), unpackEdit(unpacker),
				unpacker.unpackString());
	}

	/**
	 * Writes an edit.
	 * @param edit the edit
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packEdit(ConfigurationEdit edit, MessagePacker packer) throws IOException {
		boolean hasTeams = !edit.teams().isEmpty() || edit.evacuatedDomains().isPresent();
		if (hasTeams) {
			packer.packInt(EDIT_FORMAT);
		}
		Fields.packList(packer, edit.services(), ConfigurationBinding::packService);
		Fields.packList(packer, edit.removedServices(), (name, target) -> target.packString(name));
		Fields.packList(packer, edit.routes(), ConfigurationBinding::packHostRoute);
		Fields.packList(packer, edit.removedRoutes(), (name, target) -> target.packString(name));
		packer.packBoolean(edit.limits().isPresent());
		if (edit.limits().isPresent()) {
			packCallerLimits(edit.limits().get(), packer);
		}
		if (hasTeams) {
			TeamBinding.packTeamEdit(edit.teams(), packer);
			TeamBinding.packEvacuatedDomains(edit.evacuatedDomains(), packer);
		}
	}

	/**
	 * Reads an edit.
	 * @param unpacker source of the encoded form
	 * @return the edit
	 * @throws IOException if the input is truncated
	 */
	public static ConfigurationEdit unpackEdit(MessageUnpacker unpacker) throws IOException {
		boolean hasTeams = unpackFormat(unpacker, EDIT_FORMAT);
		return new ConfigurationEdit(Fields.unpackList(unpacker, ConfigurationBinding::unpackService),
				Fields.unpackList(unpacker, MessageUnpacker::unpackString),
				Fields.unpackList(unpacker, ConfigurationBinding::unpackHostRoute),
				Fields.unpackList(unpacker, MessageUnpacker::unpackString),
				unpacker.unpackBoolean() ? Optional.of(unpackCallerLimits(unpacker)) : Optional.empty(),
				hasTeams ? TeamBinding.unpackTeamEdit(unpacker) : TeamEdit.NONE,
				hasTeams ? TeamBinding.unpackEvacuatedDomains(unpacker) : Optional.empty());
	}

	// Encodings that were written before formats existed have no number in front.
	private static boolean unpackFormat(MessageUnpacker unpacker, int expected) throws IOException {
		if (unpacker.getNextFormat().getValueType() != ValueType.INTEGER) {
			return false;
		}
		int format = unpacker.unpackInt();
		if (format != expected) {
			throw new WireException("format " + format + " is unknown; the known format is " + expected);
		}
		return true;
	}

	private static void packHostRoute(HostRoute route, MessagePacker packer) throws IOException {
		packer.writePayload(route.encoded());
	}

	private static void packHostRouteFields(HostRoute route, MessagePacker packer) throws IOException {
		if (route.allowsAnonymous()) {
			packer.packInt(ROUTE_FORMAT);
		}
		packer.packString(route.name());
		packer.packString(route.host());
		packer.packString(route.pathPrefix());
		packer.packBoolean(route.rules().idempotent());
		packer.packInt(route.rules().timeoutMillis());
		packer.packInt(route.rules().targetLatencyMillis());
		packer.packInt(route.rules().priority());
		packer.packInt(route.rules().maximumAttempts());
		packer.packInt(route.rules().maximumBodyBytes());
		Fields.packMap(packer, route.weights(), (weight, target) -> target.packInt(weight));
		packer.packLong(route.modifiedVersion());
		if (route.allowsAnonymous()) {
			packer.packBoolean(true);
		}
	}

	private static HostRoute unpackHostRoute(MessageUnpacker unpacker) throws IOException {
		boolean hasAnonymous = unpackFormat(unpacker, ROUTE_FORMAT);
		String name = unpacker.unpackString();
		return HostRoute.builder(name)
			.match(unpacker.unpackString(), unpacker.unpackString())
			.rules(new CallRules(name, unpacker.unpackBoolean(), unpacker.unpackInt(), unpacker.unpackInt(),
					unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt()))
			.weights(Fields.unpackMap(unpacker, MessageUnpacker::unpackInt))
			.modifiedVersion(unpacker.unpackLong())
			.allowsAnonymous(hasAnonymous && unpacker.unpackBoolean())
			.build();
	}

	private static void packCallerLimits(CallerLimits limits, MessagePacker packer) throws IOException {
		packer.packInt(limits.maximumHeaderBytes());
		packer.packInt(limits.maximumBodyBytes());
		packer.packInt(limits.headerTimeoutMillis());
		packer.packInt(limits.idleTimeoutMillis());
	}

	private static CallerLimits unpackCallerLimits(MessageUnpacker unpacker) throws IOException {
		return new CallerLimits(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt());
	}

	/**
	 * Writes a service from its cached form.
	 * @param service the service
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packService(ServiceConfiguration service, MessagePacker packer) throws IOException {
		packer.writePayload(service.encoded());
	}

	private static void packServiceFields(ServiceConfiguration service, MessagePacker packer) throws IOException {
		boolean hasColdStart = !service.coldStart().equals(ColdStart.NONE);
		if (hasColdStart) {
			packer.packInt(SERVICE_FORMAT);
		}
		packer.packString(service.name());
		packer.packString(service.team());
		packer.packBoolean(service.openToCallers());
		Fields.packList(packer, service.calls(), (name, target) -> target.packString(name));
		Fields.packList(packer, service.routes(), ConfigurationBinding::packRoute);
		Fields.packList(packer, service.versions(), (name, target) -> target.packString(name));
		Fields.packMap(packer, service.split(), (share, target) -> target.packInt(share));
		packer.packInt(service.limits().queueLength());
		packer.packInt(service.limits().customerShareBasisPoints());
		packer.packInt(service.limits().retryBudgetBasisPoints());
		packer.packBoolean(service.move().isPresent());
		if (service.move().isPresent()) {
			packMoveParameters(service.move().get(), packer);
		}
		packer.packLong(service.modifiedVersion());
		if (hasColdStart) {
			packer.packLong(service.coldStart().durationMillis());
			packer.packDouble(service.coldStart().requestsPerSecond());
		}
	}

	/**
	 * Reads a service.
	 * @param unpacker source of the encoded form
	 * @return the service
	 * @throws IOException if the input is truncated
	 */
	public static ServiceConfiguration unpackService(MessageUnpacker unpacker) throws IOException {
		boolean hasColdStart = unpackFormat(unpacker, SERVICE_FORMAT);
		return ServiceConfiguration.builder(unpacker.unpackString())
			.team(unpacker.unpackString())
			.openToCallers(unpacker.unpackBoolean())
			.calls(Fields.unpackList(unpacker, MessageUnpacker::unpackString))
			.routes(Fields.unpackList(unpacker, ConfigurationBinding::unpackRoute))
			.versions(Fields.unpackList(unpacker, MessageUnpacker::unpackString))
			.split(Fields.unpackMap(unpacker, MessageUnpacker::unpackInt))
			.limits(new ServiceLimits(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt()))
			.move(unpacker.unpackBoolean() ? unpackMoveParameters(unpacker) : null)
			.modifiedVersion(unpacker.unpackLong())
			.coldStart(hasColdStart ? new ColdStart(unpacker.unpackLong(), unpacker.unpackDouble()) : ColdStart.NONE)
			.build();
	}

	/**
	 * Writes the parameters of a move.
	 * @param move the parameters
	 * @param packer target of the encoded form
	 * @throws IOException if the packer fails
	 */
	public static void packMoveParameters(MoveParameters move, MessagePacker packer) throws IOException {
		packer.packString(move.id());
		packer.packString(move.from());
		packer.packString(move.to());
		packer.packLong(move.deadlineMillis());
		packer.packString(move.thinEvidence().name());
		packer.packString(move.policy());
	}

	/**
	 * Reads the parameters of a move.
	 * @param unpacker source of the encoded form
	 * @return the parameters
	 * @throws IOException if the input is truncated
	 */
	public static MoveParameters unpackMoveParameters(MessageUnpacker unpacker) throws IOException {
		return new MoveParameters(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(),
				unpacker.unpackLong(), ThinEvidence.valueOf(unpacker.unpackString()), unpacker.unpackString());
	}

	private static void packRoute(Route route, MessagePacker packer) throws IOException {
		packer.packString(route.name());
		packer.packString(route.method());
		packer.packString(route.pathPrefix());
		packer.packBoolean(route.idempotent());
		packer.packInt(route.timeoutMillis());
		packer.packInt(route.maximumBodyBytes());
	}

	private static Route unpackRoute(MessageUnpacker unpacker) throws IOException {
		return new Route(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(),
				unpacker.unpackBoolean(), unpacker.unpackInt(), unpacker.unpackInt());
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java runtime does not support SHA-256", ex);
		}
	}

}
