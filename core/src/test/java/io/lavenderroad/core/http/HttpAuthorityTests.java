package io.lavenderroad.core.http;

import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against two hosts that count as one, against one host that counts as two, and
 * against hosts that are cut where no port begins.
 */
public class HttpAuthorityTests {

	@DataProvider
	Object[][] equivalent() {
		return new Object[][] { { "desk.example", "DESK.Example" }, { "desk.example", "desk.example:" },
				{ "desk.example", "desk.example:80" }, { "desk.example:80", "desk.example:0080" },
				{ "desk.example:8443", "Desk.Example:8443" }, { "desk.example", "%64esk%2Eexample" },
				{ "a%2fb", "A%2Fb" }, { "[2001:db8::1]", "[2001:DB8:0:0:0:0:0:1]:80" },
				{ "[::1]:8443", "[0::1]:08443" }, { "[::ffff:10.0.0.1]", "[::FFFF:a00:1]" },
				{ "10.0.0.1:80", "10.0.0.1" } };
	}

	@DataProvider
	Object[][] different() {
		return new Object[][] { { "desk.example:8443", "desk.example:8080" }, { "desk.example:8443", "desk.example" },
				{ "desk.example:443", "desk.example" }, { "desk.example.", "desk.example" },
				{ "desk.example:8443", "desk.example:844" }, { "[2001:db8::1]", "[2001:db8::2]" },
				{ "[2001:db8::1:80]", "[2001:db8::1]:80" }, { "[::1]", "[::1]:8443" }, { "a%2Fb", "ab" },
				{ "[::ffff:10.0.0.1]", "10.0.0.1" }, { "desk.example", "desk-example" } };
	}

	@DataProvider
	Object[][] unreadable() {
		return new Object[][] { { "" }, { ":" }, { ":80" }, { "desk.example:http" }, { "desk.example:65536" },
				{ "desk.example:99999999999" }, { "desk.example:-1" }, { "desk.example:+80" }, { "desk.example:80:80" },
				{ "a:b" }, { "::1" }, { "[::1" }, { "::1]" }, { "[]" }, { "[::1]x" }, { "[::1]80" }, { "[::1]]" },
				{ "[10.0.0.1]" }, { "[desk.example]" }, { "[::1%eth0]" }, { "[::1%25eth0]" }, { "[v1.a:b]" },
				{ "[1:2]" }, { "user@desk.example" }, { "desk example" }, { " desk.example" }, { "desk.example " },
				{ "desk.example/" }, { "desk.example?" }, { "desk%.example" }, { "desk%4" }, { "desk%zz" },
				{ "desk%+1" }, { "d\u00e4sk.example" }, { "\u212aesk.example" }, { "desk.example:\u0661" },
				{ "desk.example:80 " }, { "a,b:80,81" }, { "<desk>" } };
	}

	@Test(dataProvider = "equivalent")
	public void formsOfOneHostAreEquivalent(String one, String other) {
		Assert.assertTrue(parse(one).isEquivalentTo(parse(other)), one + " and " + other);
		Assert.assertEquals(parse(one).host(), parse(other).host());
	}

	@Test(dataProvider = "different")
	public void otherHostsAndPortsAreNotEquivalent(String one, String other) {
		Assert.assertFalse(parse(one).isEquivalentTo(parse(other)), one + " and " + other);
	}

	@Test(dataProvider = "unreadable")
	public void whatIsNoHostIsNotRead(String text) {
		Assert.assertEquals(HttpAuthority.parse(text), Optional.empty(), text);
	}

	@Test
	public void portIsTheStatedOneOrTheDefault() {
		Assert.assertEquals(HttpAuthority.parse("h").orElseThrow(), new HttpAuthority("h", 80, false));
		Assert.assertEquals(HttpAuthority.parse("h:").orElseThrow(), new HttpAuthority("h", 80, false));
		Assert.assertEquals(HttpAuthority.parse("h:80").orElseThrow(), new HttpAuthority("h", 80, true));
		Assert.assertEquals(HttpAuthority.parse("h", 443).orElseThrow(), new HttpAuthority("h", 443, false));
		for (String text : List.of("desk.example:65535", "desk.example", "[0:0:0:0:0:0:0:1]:8443")) {
			Assert.assertEquals(parse(text).toString(), text);
		}
	}

	// Each character must be refused or leave the host as one name, whatever surrounds
	// it.
	@Test
	public void eachCharacterIsPartOfTheNameOrRefused() {
		String allowed = "-._~!$&'()*+,;=";
		for (char character = 0; character < 0x180; character++) {
			boolean named = character < 128 && Character.isLetterOrDigit(character) || allowed.indexOf(character) >= 0;
			for (String text : List.of(character + "h", "h" + character, "h" + character + "h")) {
				Optional<HttpAuthority> parsed = HttpAuthority.parse(text);
				boolean port = character == ':' && text.equals("h:");
				Assert.assertEquals(parsed.isPresent(), named || port, "character " + (int) character + " in " + text);
			}
		}
	}

	private static HttpAuthority parse(String text) {
		return HttpAuthority.parse(text).orElseThrow(() -> new AssertionError(text));
	}

}
