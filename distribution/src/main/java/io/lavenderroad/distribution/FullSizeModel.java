package io.lavenderroad.distribution;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.distribution.DistributionMessages.Advance;
import io.lavenderroad.distribution.DistributionMessages.Attach;
import io.lavenderroad.distribution.DistributionMessages.ChildHeartbeat;
import io.lavenderroad.distribution.DistributionMessages.Delta;
import io.lavenderroad.distribution.DistributionMessages.EndpointUpdate;
import io.lavenderroad.distribution.DistributionMessages.ParentHeartbeat;
import io.lavenderroad.distribution.DistributionMessages.RegistryDigests;
import io.lavenderroad.distribution.DistributionMessages.Report;
import io.lavenderroad.distribution.DistributionMessages.Subscribe;
import io.lavenderroad.distribution.DistributionMessages.WholeSlice;
import io.lavenderroad.model.Endpoint;
import io.lavenderroad.model.EndpointState;
import io.lavenderroad.model.Evidence;
import io.lavenderroad.model.MeshConfiguration;
import io.lavenderroad.model.Scope;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Computes the cost of three distribution designs at the design capacity: relay tree,
 * direct subscription and gossip. The inputs are the sizes of encoded messages and
 * processor times, both measured here.
 */
final class FullSizeModel {

	private static final int NODES = 7_800;

	private static final int SERVICES = 1_000;

	private static final int FAILURE_DOMAINS = 19;

	/**
	 * Number of roots in the model: one for each region.
	 */
	private static final int ROOTS = 5;

	private static final double CHANGES_PER_SECOND = 11_000 / 86_400.0;

	/**
	 * 2,700 restarts and 32 losses a day. Each restart causes four announcements:
	 * draining, expired, cold and ready; each loss causes one.
	 */
	private static final double ANNOUNCEMENTS_PER_SECOND = (2_700 * 4 + 32) / 86_400.0;

	/**
	 * Length, kind and correlation id of a frame.
	 */
	private static final int FRAME_BYTES = 6;

	private static final double ONE_WAY_MILLIS = 1.5;

	private static final int ROUNDS = 200;

	private final PrintStream output;

	private final MessageCatalog catalog = MessageCatalog.builder().addAll(DistributionMessages.types()).build();

	private final Random random = new Random(7_800);

	private final MeshConfiguration before = ConvergenceBenchmark.services(SERVICES, this.random);

	private final MeshConfiguration after = this.before.next(2,
			List.of(this.before.service("service-500").orElseThrow()), List.of());

	private final Scope leaf = Scope.of("service-500");

	private FullSizeModel(PrintStream output) {
		this.output = output;
	}

	static void print(PrintStream output) {
		new FullSizeModel(output).run();
	}

	private void run() {
		Costs costs = measure();
		print("measured bytes per frame: delta %d, number only %d, heartbeats %d down and %d up, announcement %d,"
				+ " report of a leaf %d", costs.delta(), costs.advance(), costs.heartbeatDown(), costs.heartbeatUp(),
				costs.announcement(), costs.report());
		print("measured bytes to attach: request %d, subscription with a known version %d, slice of a leaf %d,"
				+ " everything %d, registry digests %d, whole registry %d", costs.attach(), costs.subscribe(),
				costs.leafSlice(), costs.everything(), costs.registryDigests(), costs.registry());
		print("measured CPU: apply a delta to %d services %.3f ms, compose a delta for everything %.3f ms,"
				+ " compose for a leaf %.3f ms, merge an announcement %.4f ms", SERVICES, costs.applyMillis(),
				costs.composeMillis(), costs.composeLeafMillis(), costs.mergeMillis());
		tree(costs);
		direct(costs);
		gossip(costs);
	}

	private void tree(Costs costs) {
		int fanOut = Placement.RELAY.maximumChildren();
		double perDomain = NODES / (double) FAILURE_DOMAINS;
		int rootChildren = Placement.ROOT.directChildren();
		double direct = ROOTS * rootChildren / (double) FAILURE_DOMAINS;
		int depth = 1;
		for (double reach = direct; reach < perDomain; reach = reach * fanOut + direct) {
			depth++;
		}
		double perChange = costs.delta();
		double leafChange = inScope() * costs.delta() + (1 - inScope()) * costs.advance();
		double heartbeatBytes = costs.heartbeatDown() + costs.heartbeatUp();
		double updateRate = CHANGES_PER_SECOND * perChange + ANNOUNCEMENTS_PER_SECOND * costs.announcement();
		double leafUpdateRate = CHANGES_PER_SECOND * leafChange
				+ ANNOUNCEMENTS_PER_SECOND * inScope() * costs.announcement();
		double relay = (1 + fanOut) * (heartbeatBytes + updateRate) + (1 + fanOut) * costs.report() * 0.1;
		double cpu = CHANGES_PER_SECOND * (costs.applyMillis() + fanOut * costs.composeMillis())
				+ ANNOUNCEMENTS_PER_SECOND * costs.mergeMillis();
		double hop = ONE_WAY_MILLIS + costs.applyMillis() + fanOut * costs.composeMillis();
		print("relay tree: depth %d; source: %d children, %.0f B per change, %.0f B/s; relay of relays: %.0f B/s,"
				+ " %.4f%% of a core for changes; leaf: %.0f B/s; convergence about %.0f ms", depth, rootChildren,
				rootChildren * perChange, rootChildren * (heartbeatBytes + updateRate), relay, cpu / 10,
				heartbeatBytes + leafUpdateRate, rootChildren * costs.composeMillis() + depth * hop);
		print("relay tree: loss of a relay moves %d children and cuts at most %.0f nodes for 2.5 s plus one search;"
				+ " loss of a root moves %d nodes", fanOut, perDomain / direct, rootChildren);
	}

	private void direct(Costs costs) {
		double children = NODES / (double) ROOTS;
		double leafChange = inScope() * costs.delta() + (1 - inScope()) * costs.advance();
		double heartbeatBytes = costs.heartbeatDown() + costs.heartbeatUp();
		double leafUpdateRate = CHANGES_PER_SECOND * leafChange
				+ ANNOUNCEMENTS_PER_SECOND * inScope() * costs.announcement();
		double source = children * (heartbeatBytes + leafUpdateRate + costs.report() * 0.1);
		print("direct subscription: depth 1; source: %.0f children, %.0f B per change, %.0f B/s, %.2f%% of a core for"
				+ " changes; node: %.0f B/s; convergence about %.0f ms", children, children * leafChange, source,
				CHANGES_PER_SECOND * children * costs.composeLeafMillis() / 10, heartbeatBytes + leafUpdateRate,
				ONE_WAY_MILLIS + children * costs.composeLeafMillis() + costs.applyMillis());
		print("direct subscription: loss of a root moves %.0f nodes at once, %.0f to each other root, %.1f MB of"
				+ " slices if they hold no version", children, children / (ROOTS - 1),
				children * costs.leafSlice() / 1e6);
	}

	private void gossip(Costs costs) {
		for (double interval : new double[] { 200, 1_000 }) {
			int fanOut = 3;
			double rounds = Math.log(NODES) / Math.log(1 + fanOut) + Math.log(NODES) / fanOut;
			double digestRate = fanOut * 2 * 32 * 1_000 / interval;
			double updateRate = fanOut * 2
					* (CHANGES_PER_SECOND * costs.delta() + ANNOUNCEMENTS_PER_SECOND * costs.announcement());
			print("gossip every %.0f ms to %d peers: %.1f rounds, convergence about %.0f ms; source %.0f B per change;"
					+ " node: %.0f B/s with digests of 32 B, %.0f B/s to reconcile %d digests once a minute; every node"
					+ " holds %d B of configuration", interval, fanOut, rounds, rounds * (interval + ONE_WAY_MILLIS),
					fanOut * (double) costs.delta(), digestRate + updateRate, costs.registryDigests() / 60.0, SERVICES,
					costs.everything());
		}
		print("gossip: no node depends on another one, but no node knows when all have a version, and evidence has no"
				+ " tree to be added along");
	}

	private double inScope() {
		int total = 0;
		for (String name : this.before.services().keySet()) {
			total += this.before.slice(Scope.of(name)).services().size();
		}
		return total / (double) SERVICES / SERVICES;
	}

	private Costs measure() {
		MeshConfiguration slice = this.after.slice(this.leaf);
		List<Endpoint> endpoints = new ArrayList<>();
		TreeMap<String, Long> digests = new TreeMap<>();
		for (int index = 0; index < NODES; index++) {
			endpoints.add(endpoint(index));
			digests.put("service-" + index % SERVICES, this.random.nextLong());
		}
		SubtreeStatus status = new SubtreeStatus(new TreeMap<>(Map.of(2L, 1)),
				List.of(new NodeVersion("germiston-0500", 2)), List.of(), 0, 100_000, 100_000);
		Delta delta = new Delta(
				this.after.deltaFrom(1, this.before.services().keySet(), Scope.everything()).orElseThrow());
		return new Costs(bytes(delta), bytes(new Advance(1_000_000, 1_000_001)),
				bytes(new ParentHeartbeat(1_000_000, 700)), bytes(new ChildHeartbeat(1_000_000, 1_000_000)),
				bytes(new EndpointUpdate(List.of(endpoint(500)))), bytes(new Report(1_000, status, Evidence.NONE)),
				bytes(new Attach("germiston-0500", 1_796_000_000_000L, "gauteng", "germiston", "127.0.1.1:7400",
						List.of())),
				bytes(new Subscribe(this.leaf, 1_000_000, slice.digest(), this.random.nextLong(), false, List.of(),
						false, this.random.nextLong())),
				bytes(new WholeSlice(false, slice.digest(), slice)),
				bytes(new WholeSlice(true, this.after.digest(), this.after)), bytes(new RegistryDigests(digests)),
				bytes(new EndpointUpdate(endpoints)), applyMillis(delta), composeMillis(Scope.everything()),
				composeMillis(this.leaf), mergeMillis(endpoints));
	}

	private static Endpoint endpoint(int index) {
		return new Endpoint(String.format(Locale.ROOT, "germiston-%04d", index), 1_796_000_000_000L, 3,
				EndpointState.READY, "service-" + index % SERVICES, "v1", "gauteng", "germiston", "127.0.1.1:7400", 12,
				100, String.format(Locale.ROOT, "germiston-%04d", index / 16));
	}

	private double applyMillis(Delta delta) {
		byte[] body = encode(delta);
		long nanos = 0;
		for (int round = -ROUNDS; round < ROUNDS; round++) {
			long startNanos = System.nanoTime();
			Delta read = (Delta) decode(body);
			if (this.before.apply(read.delta()).orElseThrow().missingResources().size() > 0) {
				throw new IllegalStateException("the configuration of the model is incomplete");
			}
			nanos += (round >= 0) ? System.nanoTime() - startNanos : 0;
		}
		return nanos / 1e6 / ROUNDS;
	}

	private double composeMillis(Scope scope) {
		long nanos = 0;
		for (int round = -ROUNDS; round < ROUNDS; round++) {
			// A new object in each round, since a configuration caches its digest.
			MeshConfiguration fresh = MeshConfiguration.of(2, this.after.services().values());
			var names = this.before.slice(scope).services().keySet();
			long startNanos = System.nanoTime();
			encode(new Delta(fresh.deltaFrom(1, names, scope).orElseThrow()));
			nanos += (round >= 0) ? System.nanoTime() - startNanos : 0;
		}
		return nanos / 1e6 / ROUNDS;
	}

	private static double mergeMillis(List<Endpoint> endpoints) {
		EndpointRegistry registry = new EndpointRegistry();
		registry.merge(endpoints, false, 0);
		long startNanos = System.nanoTime();
		for (Endpoint endpoint : endpoints) {
			registry.merge(List.of(endpoint.next(EndpointState.READY, "germiston-0001")), false, 0);
		}
		return (System.nanoTime() - startNanos) / 1e6 / endpoints.size();
	}

	private int bytes(DistributionMessage message) {
		return encode(message).length + FRAME_BYTES;
	}

	private byte[] encode(DistributionMessage message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			this.catalog.encode(message, packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("encoding into memory failed", ex);
		}
	}

	private Object decode(byte[] body) {
		try {
			return this.catalog.decode(Fields.unpacker(body));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("decoding from memory failed", ex);
		}
	}

	private void print(String format, Object... values) {
		this.output.println(String.format(Locale.ROOT, format, values));
	}

	// Measured inputs: sizes of frames in bytes, then times of one thread in
	// milliseconds.
	private record Costs(int delta, int advance, int heartbeatDown, int heartbeatUp, int announcement, int report,
			int attach, int subscribe, int leafSlice, int everything, int registryDigests, int registry,
			double applyMillis, double composeMillis, double composeLeafMillis, double mergeMillis) {
	}

}
