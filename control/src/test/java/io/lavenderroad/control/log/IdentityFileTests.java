package io.lavenderroad.control.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.lavenderroad.control.log.IdentityFile.Identity;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a member that gets a new id at each start or cannot start with an empty
 * disk.
 */
public class IdentityFileTests {

	@Test
	public void identityIsKeptAndAnEmptyDiskHasNone() throws IOException {
		Path folder = Files.createTempDirectory("identity").resolve("missing");
		IdentityFile file = new IdentityFile(StorageFileSystem.disk(), folder);
		Assert.assertEquals(file.load(), Optional.empty());
		Identity joins = new Identity("10.0.0.1-7380-abc", List.of());
		file.save(joins);
		Assert.assertEquals(file.load(), Optional.of(joins));
		Identity founder = new Identity("10.0.0.1-7380", List.of("10.0.0.1:7380", "10.0.0.2:7380"));
		file.save(founder);
		Assert.assertEquals(new IdentityFile(StorageFileSystem.disk(), folder).load(), Optional.of(founder));
	}

}
