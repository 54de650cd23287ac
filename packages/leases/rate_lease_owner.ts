import { create } from "@bufbuild/protobuf";
import {
  LeaseGrantSchema,
  LeaseKind,
  type LeaseRequest,
  type Member,
} from "@oleanderdeck/protocol";
import type { DatagramChannel, MemberView } from "@oleanderdeck/membership";
import type { Clock } from "@oleanderdeck/settings";
import { type HolderRecord, LeaseLedger } from "./_lease_ledger.ts";
import { divideMaxMin } from "./allocation.ts";
import type { RateLeaseOwnerRanking } from "./rate_lease_owner_ranking.ts";
import { RATE_TERM_MS } from "./lease_timing.ts";

/**
 * Unit of amounts in rate leases, in calls per second. It is small because many
 * nodes may share a limit of a few calls per second.
 */
export const RATE_UNIT = 0.001;

/** Part of the rate that stays free for nodes that begin to send calls. */
const SPARE_SHARE = 0.1;

/**
 * Target for the requests per second that an owner answers for one
 * organisation. Terms are longer with more holders, so that the control traffic
 * stays bounded.
 */
const TARGET_REQUESTS_PER_SECOND = 5;

/** Number of renewals of a lease within its term. */
const RENEWALS_PER_TERM = 8;

/** Minimum time between a grant to a holder and an unsolicited one after it. */
const PUSH_INTERVAL_MS = 200;

/**
 * Minimum reduction, as a fraction of the granted amount, that is sent to a
 * holder before its next renewal.
 */
const MIN_PUSHED_REDUCTION = 0.2;

/** Options of {@linkcode RateLeaseOwner}. */
export interface RateLeaseOwnerOptions {
  readonly members: MemberView;
  readonly channel: DatagramChannel;
  readonly clock: Clock;
  readonly ranking: RateLeaseOwnerRanking;
  /** Limit of an organisation in calls per second; undefined if it has none. */
  readonly limit: (organisation: string) => number | undefined;
}

/**
 * Grants rate leases for the organisations whose limits this node owns a share
 * of. The amounts that holders may use never exceed that share. A node that
 * became an owner within the last term grants only the amounts that holders
 * already hold from its predecessor.
 */
export class RateLeaseOwner {
  readonly #options: RateLeaseOwnerOptions;
  readonly #startedAt: number;
  readonly #ledgers = new Map<string, LeaseLedger>();
  readonly #removeHandler: () => void;
  #epoch = 0n;

  /** @param options Collaborators of the owner. */
  constructor(options: RateLeaseOwnerOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#removeHandler = options.channel.onMessage(
      "leaseRequest",
      (request, sender) => {
        if (request.kind === LeaseKind.RATE) this.#receive(request, sender);
      },
    );
  }

  /** Stops answering lease requests. */
  close(): void {
    this.#removeHandler();
  }

  #receive(request: LeaseRequest, sender: Member): void {
    const { clock, limit, members, ranking } = this.#options;
    const self = members.self();
    const organisation = request.resource;
    const callsPerSecond = limit(organisation);
    if (request.ownerIncarnation !== self.incarnation) return;
    if (callsPerSecond === undefined) return;
    if (!ranking.owners(organisation).includes(self.nodeId)) return;
    const now = clock.now();
    let ledger = this.#ledgers.get(organisation);
    if (ledger === undefined) {
      ledger = new LeaseLedger(RATE_TERM_MS);
      this.#ledgers.set(organisation, ledger);
    }
    ledger.expire(now);
    const holder = ledger.accept(request, sender, now);
    if (holder === undefined) return;
    ledger.termMs = Math.max(
      RATE_TERM_MS,
      1_000 * RENEWALS_PER_TERM * ledger.size / TARGET_REQUESTS_PER_SECOND,
    );
    const earlierOwners = ranking.ownersBeforeDepartures(organisation);
    const capacity = callsPerSecond / RATE_UNIT /
      Math.max(1, earlierOwners.length);
    // Grants of former owners, or of an earlier incarnation of this node, may
    // be in use until one term has passed.
    const settled = earlierOwners.includes(self.nodeId) &&
      now - this.#startedAt >= RATE_TERM_MS;
    const targets = settled
      ? divideRate(capacity, ledger.holders())
      : new Map([[holder, request.heldAmount]]);
    if (settled) this.#reduce(organisation, ledger, targets, holder);
    const room = capacity - ledger.committed(now, holder);
    this.#send(
      organisation,
      ledger,
      holder,
      Math.max(0, Math.min(targets.get(holder) ?? 0, room)),
    );
  }

  /** Sends reduced grants to other holders whose targets have fallen. */
  #reduce(
    organisation: string,
    ledger: LeaseLedger,
    targets: ReadonlyMap<HolderRecord, number>,
    requester: HolderRecord,
  ): void {
    const now = this.#options.clock.now();
    for (const [holder, target] of targets) {
      if (holder === requester || now - holder.lastSentAt < PUSH_INTERVAL_MS) {
        continue;
      }
      if (
        holder.lastAmount - target > holder.lastAmount * MIN_PUSHED_REDUCTION
      ) {
        this.#send(organisation, ledger, holder, target);
      }
    }
  }

  #send(
    organisation: string,
    ledger: LeaseLedger,
    holder: HolderRecord,
    share: number,
  ): void {
    const { channel, clock, members } = this.#options;
    const amount = Math.floor(share);
    this.#epoch += 1n;
    holder.grant(this.#epoch, amount, clock.now());
    channel.send(holder.nodeId, {
      case: "leaseGrant",
      value: create(LeaseGrantSchema, {
        kind: LeaseKind.RATE,
        resource: organisation,
        ownerIncarnation: members.self().incarnation,
        requestNumber: holder.requestNumber,
        amount,
        termMilliseconds: ledger.termMs,
        epoch: this.#epoch,
      }),
    });
  }
}

/**
 * Divides the rate by max-min fairness and spreads the rate that nobody
 * demands, less a spare part, evenly over the holders that have a demand.
 */
function divideRate(
  capacity: number,
  holders: readonly HolderRecord[],
): Map<HolderRecord, number> {
  const demands = holders.map((holder) => ({
    weight: 1,
    amount: holder.demands.reduce((sum, demand) => sum + demand.amount, 0),
  }));
  const totalDemand = demands.reduce((sum, demand) => sum + demand.amount, 0);
  const spare = Math.max(0, capacity * (1 - SPARE_SHARE) - totalDemand) /
    Math.max(1, holders.length);
  const shares = divideMaxMin(capacity, demands);
  return new Map(
    holders.map((holder, index) => [
      holder,
      demands[index]!.amount === 0 ? 0 : shares[index]! + spare,
    ]),
  );
}
