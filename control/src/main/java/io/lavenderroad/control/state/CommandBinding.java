package io.lavenderroad.control.state;

import java.io.IOException;
import java.util.TreeMap;

import io.lavenderroad.control.state.Command.ApplyChange;
import io.lavenderroad.control.state.Command.BeginMove;
import io.lavenderroad.control.state.Command.FinishMove;
import io.lavenderroad.control.state.Command.KeepDeparture;
import io.lavenderroad.control.state.Command.RecordInitialVersion;
import io.lavenderroad.control.state.Command.RecordMoveWarning;
import io.lavenderroad.control.state.Command.ReplaceConfiguration;
import io.lavenderroad.control.state.Command.SetEvacuation;
import io.lavenderroad.control.state.Command.StepMove;
import io.lavenderroad.control.state.Command.WithdrawMove;
import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.model.Change;
import io.lavenderroad.model.binding.ConfigurationBinding;
import io.lavenderroad.model.departure.DepartureMessages;
import io.lavenderroad.model.rendering.RenderedService;
import io.lavenderroad.model.rendering.RenderingBinding;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack encoding of commands and outcomes. An encoded command starts with the
 * format version and the code of its kind.
 */
public final class CommandBinding {

	private static final int FORMAT_VERSION = 1;

	private static final int APPLY_CHANGE = 1;

	private static final int STEP_MOVE = 2;

	private static final int WITHDRAW_MOVE = 3;

	private static final int FINISH_MOVE = 4;

	private static final int RECORD_MOVE_WARNING = 5;

	private static final int REPLACE_CONFIGURATION = 6;

	private static final int BEGIN_MOVE = 7;

	private static final int RECORD_INITIAL_VERSION = 8;

	private static final int SET_EVACUATION = 9;

	private static final int KEEP_DEPARTURE = 10;

	private CommandBinding() {
	}

	/**
	 * Encodes a command.
	 * @param command the command
	 * @return the bytes
	 */
	public static byte[] toBytes(Command command) {
		return ConfigurationBinding.toBytes(command, CommandBinding::pack);
	}

	/**
	 * Decodes a command.
	 * @param bytes the bytes
	 * @return the command
	 * @throws LavenderroadException if the bytes are not a command of a known format
	 */
	public static Command fromBytes(byte[] bytes) {
		try {
			MessageUnpacker unpacker = Fields.unpacker(bytes);
			Command command = unpack(unpacker);
			Fields.checkEnd(unpacker);
			return command;
		}
		catch (IOException | MessagePackException | IllegalArgumentException | NullPointerException ex) {
			throw new LavenderroadException("malformed command of " + bytes.length + " bytes: " + ex, ex);
		}
	}

	/**
	 * Encodes an outcome.
	 * @param outcome the outcome
	 * @return the bytes
	 */
	public static byte[] outcomeToBytes(CommandOutcome outcome) {
		return ConfigurationBinding.toBytes(outcome, CommandBinding::packOutcome);
	}

	/**
	 * Decodes an outcome.
	 * @param bytes the bytes
	 * @return the outcome
	 * @throws LavenderroadException if the bytes are not an outcome
	 */
	public static CommandOutcome outcomeFromBytes(byte[] bytes) {
		try {
			return unpackOutcome(Fields.unpacker(bytes));
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new LavenderroadException("malformed outcome of " + bytes.length + " bytes: " + ex, ex);
		}
	}

	static void packOutcome(CommandOutcome outcome, MessagePacker packer) throws IOException {
		packer.packString(outcome.kind().name());
		packer.packLong(outcome.version());
		packer.packString(outcome.reason());
	}

	static CommandOutcome unpackOutcome(MessageUnpacker unpacker) throws IOException {
		return new CommandOutcome(CommandOutcome.Kind.valueOf(unpacker.unpackString()), unpacker.unpackLong(),
				unpacker.unpackString());
	}

	private static void pack(Command command, MessagePacker packer) throws IOException {
		packer.packInt(FORMAT_VERSION);
		switch (command) {
			case ApplyChange apply -> packApply(apply, packer);
			case StepMove step -> {
				packHeader(packer, STEP_MOVE, step.atMillis(), step.moveId(), step.expectedStep());
				packer.packInt(step.shareBasisPoints());
				packer.packBoolean(step.rampComplete());
				packer.packString(step.reason());
			}
			case WithdrawMove withdraw -> {
				packHeader(packer, WITHDRAW_MOVE, withdraw.atMillis(), withdraw.moveId(), withdraw.expectedStep());
				packer.packString(withdraw.operator());
				packer.packString(withdraw.reason());
				packer.packString(withdraw.route());
				packer.packString(withdraw.statistics());
			}
			case FinishMove finish -> {
				packHeader(packer, FINISH_MOVE, finish.atMillis(), finish.moveId(), finish.expectedStep());
				packer.packString(finish.reason());
				packer.packString(finish.statistics());
			}
			case RecordMoveWarning warn -> {
				packHeader(packer, RECORD_MOVE_WARNING, warn.atMillis(), warn.moveId(), warn.expectedStep());
				packer.packString(warn.warning());
			}
			case ReplaceConfiguration replace -> packReplace(replace, packer);
			case BeginMove begin -> {
				packer.packInt(BEGIN_MOVE).packLong(begin.atMillis());
				packer.packString(begin.service()).packString(begin.target()).packLong(begin.durationMillis());
			}
			case RecordInitialVersion initial -> {
				packer.packInt(RECORD_INITIAL_VERSION).packLong(initial.atMillis());
				packer.packString(initial.service()).packString(initial.version());
			}
			case SetEvacuation order -> {
				packer.packInt(SET_EVACUATION).packLong(order.atMillis());
				packer.packString(order.failureDomain()).packBoolean(order.evacuated());
			}
			case KeepDeparture keep -> {
				packer.packInt(KEEP_DEPARTURE).packLong(keep.atMillis());
				packer.packString(keep.nodeId());
				DepartureMessages.packDeparture(keep.departure(), packer);
			}
		}
	}

	private static void packReplace(ReplaceConfiguration replace, MessagePacker packer) throws IOException {
		packer.packInt(REPLACE_CONFIGURATION);
		packer.packLong(replace.atMillis());
		packer.packLong(replace.declaredVersion());
		packer.packLong(replace.baseDeclaredVersion());
		packer.packString(replace.digest());
		ConfigurationBinding.packEdit(replace.edit(), packer);
		Fields.packMap(packer, replace.changedParts(), (text, target) -> target.packString(text));
		Fields.packList(packer, replace.removedParts(), (name, target) -> target.packString(name));
	}

	private static ReplaceConfiguration unpackReplace(long atMillis, MessageUnpacker unpacker) throws IOException {
		return new ReplaceConfiguration(atMillis, unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackString(),
				ConfigurationBinding.unpackEdit(unpacker), Fields.unpackMap(unpacker, MessageUnpacker::unpackString),
				Fields.unpackList(unpacker, MessageUnpacker::unpackString));
	}

	private static void packHeader(MessagePacker packer, int code, long atMillis, String moveId, int expectedStep)
			throws IOException {
		packer.packInt(code);
		packer.packLong(atMillis);
		packer.packString(moveId);
		packer.packInt(expectedStep);
	}

	private static void packApply(ApplyChange apply, MessagePacker packer) throws IOException {
		packer.packInt(APPLY_CHANGE);
		packer.packLong(apply.atMillis());
		Change change = apply.change();
		packer.packString(change.changeId());
		packer.packLong(change.baseVersion());
		packer.packString(change.operator());
		Fields.packMap(packer, change.put(), (text, target) -> target.packString(text));
		Fields.packList(packer, change.removed(), (name, target) -> target.packString(name));
		packer.packString(apply.digest());
		packer.packLong(apply.renderedLastChangeVersion());
		Fields.packList(packer, apply.services().values(), RenderingBinding::packService);
		Fields.packList(packer, apply.removedServices(), (name, target) -> target.packString(name));
	}

	private static Command unpack(MessageUnpacker unpacker) throws IOException {
		int format = unpacker.unpackInt();
		if (format != FORMAT_VERSION) {
			throw new LavenderroadException(
					"command format " + format + " is unknown; this program knows " + FORMAT_VERSION);
		}
		int code = unpacker.unpackInt();
		long atMillis = unpacker.unpackLong();
		return switch (code) {
			case APPLY_CHANGE -> unpackApply(atMillis, unpacker);
			case REPLACE_CONFIGURATION -> unpackReplace(atMillis, unpacker);
			case BEGIN_MOVE ->
				new BeginMove(atMillis, unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
			case RECORD_INITIAL_VERSION ->
				new RecordInitialVersion(atMillis, unpacker.unpackString(), unpacker.unpackString());
			case SET_EVACUATION -> new SetEvacuation(atMillis, unpacker.unpackString(), unpacker.unpackBoolean());
			case KEEP_DEPARTURE ->
				new KeepDeparture(atMillis, unpacker.unpackString(), DepartureMessages.unpackDeparture(unpacker));
			default -> unpackMoveCommand(code, atMillis, unpacker);
		};
	}

	private static Command unpackMoveCommand(int code, long atMillis, MessageUnpacker unpacker) throws IOException {
		String moveId = unpacker.unpackString();
		int step = unpacker.unpackInt();
		return switch (code) {
			case STEP_MOVE -> new StepMove(atMillis, moveId, step, unpacker.unpackInt(), unpacker.unpackBoolean(),
					unpacker.unpackString());
			case WITHDRAW_MOVE -> new WithdrawMove(atMillis, moveId, step, unpacker.unpackString(),
					unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
			case FINISH_MOVE ->
				new FinishMove(atMillis, moveId, step, unpacker.unpackString(), unpacker.unpackString());
			case RECORD_MOVE_WARNING -> new RecordMoveWarning(atMillis, moveId, step, unpacker.unpackString());
			default -> throw new LavenderroadException("command code " + code + " is unknown");
		};
	}

	private static ApplyChange unpackApply(long atMillis, MessageUnpacker unpacker) throws IOException {
		Change change = new Change(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString(),
				Fields.unpackMap(unpacker, MessageUnpacker::unpackString),
				Fields.unpackList(unpacker, MessageUnpacker::unpackString));
		String digest = unpacker.unpackString();
		long renderedLastChangeVersion = unpacker.unpackLong();
		TreeMap<String, RenderedService> services = new TreeMap<>();
		Fields.unpackList(unpacker, RenderingBinding::unpackService)
			.forEach((service) -> services.put(service.name(), service));
		return new ApplyChange(atMillis, change, digest, renderedLastChangeVersion, services,
				Fields.unpackList(unpacker, MessageUnpacker::unpackString));
	}

}
