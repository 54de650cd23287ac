import { create } from "@bufbuild/protobuf";
import { DemandSchema, type LeaseRequest } from "@oleanderdeck/protocol";

/**
 * Rank of the demand for headroom: slots beyond the expected demand, which
 * cover its variation between reports. It is served after all priorities, so
 * that under a shortage headroom takes no slot from a call.
 */
export const HEADROOM_RANK = 4;

const MICROSECONDS_PER_MS = 1000;

/** Demand for one priority and one organisation. */
export interface DemandEntry {
  /** Rank of the priority, or {@linkcode HEADROOM_RANK}. */
  readonly priority: number;
  readonly organisation: string;
  readonly amount: number;
}

/** Demands and call statistics that a holder sends with a lease request. */
export interface DemandReport {
  readonly demands: readonly DemandEntry[];
  /** Calls completed since the last request. */
  readonly calls: number;
  /** Mean duration of these calls in milliseconds; 0 without calls. */
  readonly meanDurationMs: number;
}

/** Fields of a lease request that encode a {@linkcode DemandReport}. */
export type DemandFields = Pick<
  LeaseRequest,
  "demands" | "completedCalls" | "meanDurationMicroseconds" | "headroom"
>;

/**
 * Encodes a report as fields of a lease request. Entries without demand are
 * left out, and amounts are rounded up.
 *
 * @param report Demands and call statistics.
 * @returns The encoded fields.
 */
export function writeDemands(report: DemandReport): DemandFields {
  const wanted = report.demands.filter((demand) => demand.amount > 0);
  return {
    demands: wanted
      .filter(({ priority }) => priority < HEADROOM_RANK)
      .map(({ amount, organisation, priority }) =>
        create(DemandSchema, {
          priority,
          organisation,
          amount: Math.ceil(amount),
        })
      ),
    headroom: Math.ceil(
      wanted.find(({ priority }) => priority === HEADROOM_RANK)?.amount ?? 0,
    ),
    completedCalls: report.calls,
    meanDurationMicroseconds: Math.round(
      report.meanDurationMs * MICROSECONDS_PER_MS,
    ),
  };
}

/**
 * Decodes the report in the fields of a lease request. Entries with an unknown
 * priority are ignored.
 *
 * @param fields Fields as received.
 * @returns Demands, with headroom as the last entry, and call statistics.
 */
export function readDemands(fields: DemandFields): DemandReport {
  const { completedCalls, headroom, meanDurationMicroseconds } = fields;
  const demands = fields.demands.filter(({ priority }) =>
    priority < HEADROOM_RANK
  );
  return {
    demands: headroom === 0 ? demands : [
      ...demands,
      { priority: HEADROOM_RANK, organisation: "", amount: headroom },
    ],
    calls: completedCalls,
    meanDurationMs: meanDurationMicroseconds / MICROSECONDS_PER_MS,
  };
}
