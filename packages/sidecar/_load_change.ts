import type { AdmissionShare, LoadReport } from "@oleanderdeck/hop";

/**
 * Peers are sent a load report when the number of running and waiting calls has
 * changed by more than this share of the slots.
 */
const USAGE_REPORT_THRESHOLD = 0.2;

/** Peers are sent a load report when the pressure changes by at least this. */
const PRESSURE_REPORT_THRESHOLD = 0.04;

/** Peers are sent a load report when the failure share changes by this. */
const FAILURE_REPORT_THRESHOLD = 0.1;

/**
 * Peers are sent a load report when the hold time falls below this part of the one
 * last sent: a node that avoids a slow worker gets no answers that show that it
 * has become faster.
 */
const FASTER_REPORT_THRESHOLD = 0.8;

/** Peers are sent a load report when the pace changes by at least this. */
const PACE_REPORT_THRESHOLD = 0.1;

/**
 * Peers are sent a load report when a share changes by at least this, or by this
 * part of it. Small shares have to be as exact as great ones.
 */
const SHARE_REPORT_THRESHOLD = 0.04;
const RELATIVE_SHARE_REPORT_THRESHOLD = 0.1;

/**
 * Returns whether a load differs so much from the one last sent to a peer that
 * it is sent without an answer.
 */
export function isSignificantChange(
  load: LoadReport,
  lastSent: LoadReport,
): boolean {
  if (load.slots !== lastSent.slots) return true;
  if (
    load.statement?.requestsPerSecond !== lastSent.statement?.requestsPerSecond
  ) return true;
  if ((load.repeatShare > 0) !== (lastSent.repeatShare > 0)) return true;
  if (
    Math.abs(load.pressure - lastSent.pressure) >= PRESSURE_REPORT_THRESHOLD
  ) {
    return true;
  }
  const failureChange = Math.abs(load.failureShare - lastSent.failureShare);
  if (failureChange >= FAILURE_REPORT_THRESHOLD) return true;
  if (load.holdMs < FASTER_REPORT_THRESHOLD * lastSent.holdMs) return true;
  const paceChange = Math.abs((load.pace ?? 1) - (lastSent.pace ?? 1));
  if (paceChange >= PACE_REPORT_THRESHOLD) return true;
  if (haveSharesChanged(load, lastSent)) return true;
  const change = load.running + load.waiting - lastSent.running -
    lastSent.waiting;
  return Math.abs(change) > USAGE_REPORT_THRESHOLD * Math.max(1, load.slots);
}

function haveSharesChanged(load: LoadReport, lastSent: LoadReport): boolean {
  if (load.admission === undefined && lastSent.admission === undefined) {
    return false;
  }
  const shares = allShares(load);
  const sent = allShares(lastSent);
  return [...new Set([...shares.keys(), ...sent.keys()])].some((key) => {
    const share = shares.get(key) ?? 1;
    const lastSentShare = sent.get(key) ?? 1;
    // Shares are sent in thousandths.
    const change = Math.round(1_000 * Math.abs(share - lastSentShare)) / 1_000;
    const relative = RELATIVE_SHARE_REPORT_THRESHOLD * lastSentShare;
    return change >= Math.min(SHARE_REPORT_THRESHOLD, relative);
  });
}

function allShares(
  { admission = [], routeAdmission = [] }: LoadReport,
): ReadonlyMap<string, number> {
  const entries = (
    name: string,
    shares: readonly AdmissionShare[],
  ) =>
    shares.map(([priority, share]) => [`${priority} ${name}`, share] as const);
  return new Map([
    ...entries("", admission),
    ...routeAdmission.flatMap(([route, shares]) => entries(route, shares)),
  ]);
}
