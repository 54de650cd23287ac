import { create } from "@bufbuild/protobuf";
import { type Demand, DemandSchema } from "@oleanderdeck/protocol";

/**
 * Rank of the demand entry that reports calls completed since the last
 * request. The schema has no field for it; the entry has no organisation.
 */
const CALLS_ENTRY = 4;

/** Rank of the entry that reports the mean duration, in units of 0.1 ms. */
const DURATION_ENTRY = 5;

const DURATION_UNITS_PER_MS = 10;

/**
 * Rank of the entry for slots beyond the expected need, against variation
 * between reports. It is served after all priorities, so that under shortage
 * room for variation takes no slot from a call.
 */
export const HEADROOM_ENTRY = 6;

/** Demand for one priority and organisation. */
export interface DemandEntry {
  readonly priority: number;
  readonly organisation: string;
  readonly amount: number;
}

/** Content of the demand entries of a lease request. */
export interface DemandReport {
  readonly demands: readonly DemandEntry[];
  /** Calls completed since the last request. */
  readonly calls: number;
  /** Mean duration of these calls; 0 without calls. */
  readonly meanDurationMs: number;
}

/**
 * Encodes demands and call statistics as demand entries.
 *
 * @param report Demands and statistics.
 */
export function writeDemands(report: DemandReport): Demand[] {
  const entries = report.demands
    .filter((demand) => demand.amount > 0)
    .map((demand) =>
      create(DemandSchema, {
        priority: demand.priority,
        organisation: demand.organisation,
        amount: Math.ceil(demand.amount),
      })
    );
  if (report.calls > 0) {
    entries.push(
      create(DemandSchema, { priority: CALLS_ENTRY, amount: report.calls }),
      create(DemandSchema, {
        priority: DURATION_ENTRY,
        amount: Math.max(
          1,
          Math.round(report.meanDurationMs * DURATION_UNITS_PER_MS),
        ),
      }),
    );
  }
  return entries;
}

/**
 * Decodes the demand entries of a lease request.
 *
 * @param entries Entries as received.
 */
export function readDemands(entries: readonly Demand[]): DemandReport {
  const amountOf = (rank: number) =>
    entries.find((entry) => entry.priority === rank)?.amount ?? 0;
  return {
    demands: entries.filter(({ priority }) =>
      priority < CALLS_ENTRY || priority === HEADROOM_ENTRY
    ),
    calls: amountOf(CALLS_ENTRY),
    meanDurationMs: amountOf(DURATION_ENTRY) / DURATION_UNITS_PER_MS,
  };
}
