package io.lavenderroad.bench.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.lavenderroad.core.LavenderroadException;

/**
 * Child process started by a launcher in {@code bin/}, a daemon or a stub backend server.
 * It can be killed, stopped, suspended and restarted.
 */
public final class DaemonProcess {

	private static final int STOP_SECONDS = 20;

	private final String name;

	private final List<String> command;

	private final Path outputFile;

	private Process process;

	private DaemonProcess(String name, List<String> command, Path outputFile) {
		this.name = name;
		this.command = command;
		this.outputFile = outputFile;
	}

	/**
	 * Starts a process.
	 * @param name name for error messages
	 * @param command program and arguments
	 * @param outputFile receives standard output and errors
	 * @return the started process
	 */
	public static DaemonProcess start(String name, List<String> command, Path outputFile) {
		DaemonProcess process = new DaemonProcess(name, new ArrayList<>(command), outputFile);
		process.start();
		return process;
	}

	/**
	 * Returns the name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Starts the process again after it has ended.
	 */
	public void start() {
		ProcessBuilder builder = new ProcessBuilder(this.command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.outputFile.toFile()));
		try {
			this.process = builder.start();
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot start " + this.name, ex);
		}
	}

	/**
	 * Returns whether the process is running.
	 * @return true if it is running
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Kills the process with SIGKILL and waits until it has ended.
	 */
	public void kill() {
		this.process.destroyForcibly();
		await();
	}

	/**
	 * Resumes the process, sends SIGTERM and waits 20 seconds for its end; then sends
	 * SIGKILL.
	 * @return true if it ended without SIGKILL
	 */
	public boolean stop() {
		signal("CONT");
		this.process.destroy();
		try {
			if (this.process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
				return true;
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		kill();
		return false;
	}

	/**
	 * Suspends the process with SIGSTOP.
	 */
	public void pause() {
		signal("STOP");
	}

	/**
	 * Resumes a suspended process with SIGCONT.
	 */
	public void resume() {
		signal("CONT");
	}

	/**
	 * Reads the resident set size.
	 * @return kilobytes, or empty if the process has ended
	 */
	public OptionalLong residentKilobytes() {
		return statusLine("VmRSS:").map((text) -> OptionalLong.of(Long.parseLong(text.replaceAll("[^0-9]", ""))))
			.orElse(OptionalLong.empty());
	}

	/**
	 * Counts the open descriptors.
	 * @return the number, or empty if the process has ended
	 */
	public OptionalLong openDescriptors() {
		try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + this.process.pid() + "/fd"))) {
			return OptionalLong.of(descriptors.count());
		}
		catch (IOException ex) {
			return OptionalLong.empty();
		}
	}

	/**
	 * Reads the processor time used so far.
	 * @return milliseconds, or 0 if the process has ended
	 */
	public long processorMillis() {
		return this.process.info().totalCpuDuration().map((duration) -> duration.toMillis()).orElse(0L);
	}

	private Optional<String> statusLine(String key) {
		try {
			return Files.readAllLines(Path.of("/proc/" + this.process.pid() + "/status"))
				.stream()
				.filter((line) -> line.startsWith(key))
				.findFirst();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private void signal(String signal) {
		if (!this.process.isAlive()) {
			return;
		}
		try {
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot signal " + this.name, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void await() {
		try {
			this.process.waitFor();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
