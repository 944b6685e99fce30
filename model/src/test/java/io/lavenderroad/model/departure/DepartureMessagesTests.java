package io.lavenderroad.model.departure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.wire.Fields;
import io.lavenderroad.core.wire.MessageCatalog;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against departures that change on the wire, and against damaged messages that
 * end the thread that reads them.
 */
public class DepartureMessagesTests {

	private static final MessageCatalog CATALOG = MessageCatalog.builder().addAll(DepartureMessages.types()).build();

	private static final Departure DEPARTURE = new Departure("i-1", 1_700_000_000_000L, Departure.Kind.DRAINING);

	private static final List<Object> MESSAGES = List.of(new DepartureRequest.Keep("node-1", DEPARTURE, false),
			new DepartureRequest.Read("node-1", true), new DepartureAnswer(true, List.of(DEPARTURE)),
			DepartureAnswer.UNCONFIRMED);

	@Test
	public void messagesAreReadAsTheyWereWritten() throws IOException {
		for (Object message : MESSAGES) {
			Assert.assertEquals(CATALOG.decode(Fields.unpacker(encode(message))), message);
		}
	}

	@Test
	public void damagedMessagesAreRejected() throws IOException {
		Random random = new Random(20261207);
		List<String> unexpected = new ArrayList<>();
		for (int attempt = 0; attempt < 20_000; attempt++) {
			byte[] bytes = encode(MESSAGES.get(attempt % MESSAGES.size()));
			for (int flips = random.nextInt(4); flips >= 0; flips--) {
				bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
			}
			try {
				CATALOG.decode(Fields.unpacker(bytes));
			}
			catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException ex) {
				continue;
			}
			catch (RuntimeException ex) {
				if (!(ex instanceof LavenderroadException)) {
					unexpected.add(ex.toString());
				}
			}
		}
		Assert.assertEquals(unexpected, List.of());
	}

	@Test(expectedExceptions = IllegalArgumentException.class)
	public void longIdsAreRefused() {
		new Departure("i".repeat(Departure.MAXIMUM_ID_LENGTH + 1), 1, Departure.Kind.DRAINING);
	}

	private static byte[] encode(Object message) throws IOException {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			CATALOG.encode(message, packer);
			return packer.toByteArray();
		}
	}

}
