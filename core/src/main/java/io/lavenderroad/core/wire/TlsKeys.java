package io.lavenderroad.core.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;

import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

import io.lavenderroad.core.LavenderroadException;
import io.lavenderroad.core.Location;

/**
 * Loads keys and trusted certificates for mutual TLS. Both sides of each connection
 * present a certificate; a process whose certificate is signed by a trusted authority
 * belongs to the cluster.
 */
public final class TlsKeys {

	private static final String STORE_TYPE = "PKCS12";

	private static final String PROTOCOL = "TLSv1.3";

	private TlsKeys() {
	}

	/**
	 * Creates a TLS context from key files.
	 * @param keyStore the PKCS #12 file with the key and the certificate of this process
	 * @param trustStore the PKCS #12 file with the certificates of the trusted
	 * authorities
	 * @param passwordFile file whose first line is the password of both stores
	 * @return the context for TLS 1.3
	 * @throws LavenderroadException if a file cannot be read or the password is wrong,
	 * with the location of the file
	 */
	public static SSLContext load(Path keyStore, Path trustStore, Path passwordFile) {
		char[] password = readPassword(passwordFile);
		try {
			KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
			keys.init(readStore(keyStore, password), password);
			TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
			trust.init(readStore(trustStore, password));
			SSLContext context = SSLContext.getInstance(PROTOCOL);
			context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
			return context;
		}
		catch (GeneralSecurityException ex) {
			throw new LavenderroadException("cannot use the keys: " + ex.getMessage(), ex,
					Location.of(keyStore.toString()));
		}
	}

	private static char[] readPassword(Path file) {
		try {
			return Files.readString(file).lines().findFirst().orElse("").toCharArray();
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot read the password", ex, Location.of(file.toString()));
		}
	}

	private static KeyStore readStore(Path file, char[] password) throws GeneralSecurityException {
		try (InputStream input = Files.newInputStream(file)) {
			KeyStore store = KeyStore.getInstance(STORE_TYPE);
			store.load(input, password);
			return store;
		}
		catch (IOException ex) {
			throw new LavenderroadException("cannot read the key store: " + ex.getMessage(), ex,
					Location.of(file.toString()));
		}
	}

}
