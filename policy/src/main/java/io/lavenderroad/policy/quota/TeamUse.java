package io.lavenderroad.policy.quota;

import io.lavenderroad.model.Quota;

/**
 * Use of the quota of one team, as the granting leader sees it.
 *
 * @param team name of the team
 * @param quota the quota
 * @param granted tokens granted in the last window
 * @param refused tokens wanted and not granted in the last window
 * @param refusedTotal tokens wanted and not granted since this leader was elected
 */
public record TeamUse(String team, Quota quota, int granted, int refused, long refusedTotal) {

}
