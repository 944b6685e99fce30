package io.lavenderroad.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageCatalog;
import io.lavenderroad.policy.calls.CallOrigin;
import io.lavenderroad.policy.quota.QuotaGrant;
import io.lavenderroad.policy.quota.QuotaRequest;
import io.lavenderroad.policy.quota.TeamDemand;
import io.lavenderroad.policy.quota.TeamGrant;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against malformed frames that end the process or are decoded as another type.
 */
public class NodeMessagesTests {

	private static final int ROUNDS = 20_000;

	private final MessageCatalog catalog = MessageCatalog.builder().addAll(NodeMessages.types()).build();

	@Test
	public void corruptedFramesAreDecodedOrRejected() throws Exception {
		Random random = new Random(20261204);
		KeyClaim claim = new KeyClaim(new KeyDigest(1, 2), new KeyDigest(3, 4), "node", 5, 6);
		KeyRecord record = new KeyRecord(claim, KeyState.DONE, CallAnswer.ran(200, List.of("A", "b"), new byte[9]), 7);
		List<Object> messages = List.of(
				new CallRequest(1, "s", "v1", "r", "POST", "/", List.of("A", "b"), new byte[8], "c", "k", 100, 2,
						new CallMetadata("i", "catalogue", true, CallOrigin.SERVER, 1, 50, "payments")),
				record.answer(), new CancelCall(3), new KeyMessages.ClaimKey(claim),
				new KeyMessages.ClaimResult(true, record), new KeyMessages.SettleKey(claim, record.answer()),
				new KeyMessages.PullKeys("node", KeyDigest.LOWEST), new KeyMessages.KeyRecords(List.of(record)),
				new QuotaRequest("node", 1, 2, List.of(new TeamDemand("orders", 1, 2, 3, 4))),
				new QuotaGrant(true, Optional.empty(), List.of(new TeamGrant("orders", 1, 2, 3))));
		for (int round = 0; round < ROUNDS; round++) {
			byte[] bytes = encode(messages.get(round % messages.size()));
			Assert.assertEquals(this.catalog.decode(Fields.unpacker(bytes)).getClass(),
					messages.get(round % messages.size()).getClass());
			for (int corruption = 0; corruption <= round % 3; corruption++) {
				bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
			}
			try {
				Assert.assertNotNull(this.catalog.decode(Fields.unpacker(bytes)));
			}
			catch (IOException | MessagePackException | LavenderroadException ex) {
				// Such an exception closes the connection with a message and has no other
				// effect.
				Assert.assertNotNull(ex);
			}
		}
	}

	private byte[] encode(Object message) throws IOException {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			this.catalog.encode(message, packer);
			return packer.toByteArray();
		}
	}

}
