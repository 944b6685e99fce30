package io.lavenderroad.distribution;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.lavenderroad.model.MeshConfiguration;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against loading a damaged file or the file of another node, and against an older
 * version that remains stored when the newer one cannot be stored.
 */
public class VersionFileTests {

	private static final MeshConfiguration FIRST = MeshConfiguration.EMPTY.next(1,
			List.of(DistributionTests.service("a", 1, Set.of())), List.of());

	private Path folder;

	private Path file;

	@BeforeMethod
	void start() throws IOException {
		this.folder = Files.createTempDirectory("version-file");
		this.file = this.folder.resolve("version-in-force.bin");
	}

	@Test
	public void lastStoredVersionIsLoaded() {
		VersionFile versionFile = new VersionFile(this.folder, "node-1");
		Assert.assertTrue(versionFile.load().isEmpty());
		versionFile.store(FIRST, false);
		versionFile.store(FIRST.next(2, List.of(), List.of()), true);
		VersionFile.Stored stored = versionFile.load().orElseThrow();
		Assert.assertEquals(stored.configuration().version(), 2);
		Assert.assertEquals(stored.configuration().services(), FIRST.services());
		Assert.assertTrue(stored.everything());
		Assert.assertTrue(new VersionFile(this.folder, "node-2").load().isEmpty());
	}

	@Test
	public void damagedFileIsIgnored() throws IOException {
		VersionFile versionFile = new VersionFile(this.folder, "node-1");
		versionFile.store(FIRST, false);
		byte[] good = Files.readAllBytes(this.file);
		Random random = new Random(20261204);
		for (int attempt = 0; attempt < 300; attempt++) {
			byte[] bad = Arrays.copyOf(good, (attempt % 2 == 0) ? good.length : random.nextInt(good.length));
			if (attempt % 2 == 0) {
				bad[random.nextInt(bad.length)] ^= (byte) (1 << random.nextInt(8));
			}
			Files.write(this.file, bad);
			Assert.assertTrue(versionFile.load().isEmpty(), "attempt " + attempt);
		}
	}

	@Test
	public void failedStoreRemovesTheOlderVersion() throws IOException {
		VersionFile versionFile = new VersionFile(this.folder, "node-1");
		versionFile.store(FIRST, false);
		// A folder with the name of the temporary file makes each write fail.
		Files.createDirectory(this.folder.resolve("version-in-force.bin.new"));
		Assert.assertTrue(versionFile.store(FIRST.next(2, List.of(), List.of()), false).isEmpty());
		Assert.assertTrue(versionFile.load().isEmpty());
	}

}
