package io.lavenderroad.bench.moves;

/**
 * Kinds of new versions that a policy has to distinguish.
 */
enum VersionKind {

	GOOD("good", false, false),

	GOOD_COLD("good with a cold start", false, false),

	GOOD_DEPENDENCY("good while a dependency fails", false, false),

	GOOD_SURGE("good while demand is three times capacity", false, false),

	GOOD_VMS_FAIL("good while VMs of it fail", false, false),

	FAILING_AT_ONCE("failing at once", true, true),

	FAILING_LATE("failing late", true, false),

	SLOW_AT_ONCE("slow at once", true, true),

	SLOW_LATE("slow late", true, false),

	BAD_UNDER_LOAD("bad only under load", true, false),

	BAD_ROUTE("bad on one route", true, true),

	BAD_COLD("bad with a cold start", true, true),

	BAD_DEPENDENCY("failing at once while a dependency fails", true, true);

	private final String label;

	private final boolean bad;

	private final boolean immediately;

	VersionKind(String label, boolean bad, boolean immediately) {
		this.label = label;
		this.bad = bad;
		this.immediately = immediately;
	}

	String label() {
		return this.label;
	}

	boolean isBad() {
		return this.bad;
	}

	boolean isBadImmediately() {
		return this.immediately;
	}

	boolean isFailing() {
		return this == FAILING_AT_ONCE || this == FAILING_LATE || this == BAD_COLD || this == BAD_DEPENDENCY;
	}

	boolean isSlow() {
		return this == SLOW_AT_ONCE || this == SLOW_LATE;
	}

	boolean hasColdStart() {
		return this == GOOD_COLD || this == BAD_COLD;
	}

	boolean hasDependencyFailure() {
		return this == GOOD_DEPENDENCY || this == BAD_DEPENDENCY;
	}

}
