package io.lavenderroad.core.wire;

import java.util.Arrays;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against compressed data whose stated length is wrong, which could exhaust the
 * memory, and against corrupt data that is accepted as intact.
 */
public class CompressionTests {

	@DataProvider
	Object[][] sizes() {
		return new Object[][] { { 0 }, { 1 }, { 16 * 1024 }, { 200_000 } };
	}

	@Test(dataProvider = "sizes")
	public void decompressionRestoresTheBytes(int size) {
		byte[] bytes = new byte[size];
		for (int index = 0; index < size; index++) {
			bytes[index] = (byte) (index % 97);
		}
		Assert.assertEquals(Compression.decompress(Compression.compress(bytes), size), bytes);
	}

	@Test
	public void repetitiveDataShrinks() {
		Assert.assertTrue(Compression.compress(new byte[1_000_000]).length < 10_000);
	}

	@Test
	public void dataWithAWrongStatedLengthIsRejected() {
		byte[] compressed = Compression.compress(new byte[1_000]);
		for (int stated : new int[] { -1, 0, 999, 1_001, Fields.MAXIMUM_FIELD_SIZE + 1 }) {
			Assert.assertThrows(WireException.class, () -> Compression.decompress(compressed, stated));
		}
	}

	@Test
	public void corruptDataIsRejected() {
		Random random = new Random(15);
		byte[] plain = new byte[5_000];
		random.nextBytes(plain);
		byte[] compressed = Compression.compress(plain);
		for (int round = 0; round < 200; round++) {
			byte[] corrupt = compressed.clone();
			corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 + random.nextInt(255));
			try {
				Assert.assertEquals(Compression.decompress(corrupt, plain.length), plain);
			}
			catch (WireException ex) {
				continue;
			}
		}
		Assert.assertThrows(WireException.class,
				() -> Compression.decompress(Arrays.copyOf(compressed, compressed.length / 2), plain.length));
	}

}
