package io.lavenderroad.control.raft;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A state machine that records all commands.
 */
final class RecordingStateMachine implements StateMachine {

	private final List<String> commands = new ArrayList<>();

	List<String> commands() {
		return this.commands;
	}

	@Override
	public byte[] apply(long index, byte[] command) {
		this.commands.add(new String(command, StandardCharsets.UTF_8));
		return String.valueOf(this.commands.size()).getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public byte[] snapshot() {
		return String.join("\n", this.commands).getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public void restore(byte[] snapshot) {
		this.commands.clear();
		if (snapshot.length > 0) {
			this.commands.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
		}
	}

}
