package io.lavenderroad.core.http;

import java.net.InetAddress;
import java.util.Optional;

/**
 * Normal forms of hosts in URIs (RFC 3986, sections 3.2.2, 6.2.2.1 and 6.2.2.2).
 */
final class HostNames {

	private static final String UNRESERVED_PUNCTUATION = "-._~";

	private static final String SUBORDINATE_DELIMITERS = "!$&'()*+,;=";

	private static final int HEXADECIMAL = 16;

	private HostNames() {
	}

	/**
	 * Returns the normal form of a registered name or an IPv4 address: lower case, and
	 * each percent-encoded character that need not be encoded is decoded.
	 * @param name the name
	 * @return the normal form, or empty if the name is empty or has another character
	 */
	static Optional<String> normalizedName(String name) {
		StringBuilder normalized = new StringBuilder(name.length());
		int index = 0;
		while (index < name.length()) {
			char character = name.charAt(index);
			if (isUnreserved(character) || SUBORDINATE_DELIMITERS.indexOf(character) >= 0) {
				normalized.append(lowerCase(character));
				index++;
			}
			else {
				int encoded = encodedCharacter(name, index);
				if (encoded < 0) {
					return Optional.empty();
				}
				normalized.append(normalizedEncoding((char) encoded));
				index += "%XX".length();
			}
		}
		return Optional.of(normalized.toString()).filter((text) -> !text.isEmpty());
	}

	/**
	 * Returns the normal form of an IPv6 address in brackets. No name is looked up.
	 * @param literal the address with its brackets
	 * @return the normal form, or empty if it is no IPv6 address
	 */
	static Optional<String> normalizedLiteral(String literal) {
		if (!literal.endsWith("]")) {
			return Optional.empty();
		}
		String address = literal.substring(1, literal.length() - 1);
		if (address.indexOf(':') < 0 || !address.chars().allMatch(HostNames::isAddressCharacter)) {
			return Optional.empty();
		}
		try {
			return Optional.of("[" + InetAddress.ofLiteral(address).getHostAddress() + "]");
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static int encodedCharacter(String name, int index) {
		if (name.charAt(index) != '%' || index + 2 >= name.length()) {
			return -1;
		}
		int high = hexadecimalDigit(name.charAt(index + 1));
		int low = hexadecimalDigit(name.charAt(index + 2));
		return (high < 0 || low < 0) ? -1 : high * HEXADECIMAL + low;
	}

	private static String normalizedEncoding(char character) {
		return isUnreserved(character) ? String.valueOf(lowerCase(character)) : "%%%02X".formatted((int) character);
	}

	private static boolean isUnreserved(int character) {
		return isAsciiLetter(character) || character >= '0' && character <= '9'
				|| UNRESERVED_PUNCTUATION.indexOf(character) >= 0;
	}

	private static boolean isAsciiLetter(int character) {
		return character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z';
	}

	private static boolean isAddressCharacter(int character) {
		return character == ':' || character == '.' || hexadecimalDigit((char) character) >= 0;
	}

	// Character.digit would accept digits of other scripts.
	private static int hexadecimalDigit(char character) {
		return (character < 128) ? Character.digit(character, HEXADECIMAL) : -1;
	}

	private static char lowerCase(char character) {
		return (character >= 'A' && character <= 'Z') ? (char) (character - 'A' + 'a') : character;
	}

}
