import { uniformInt } from "pure-rand/distribution/uniformInt";
import { MemberState } from "@oleanderdeck/protocol";
import type { MembershipContext } from "./_context.ts";
import { encodeMember, toStateUpdate } from "./_member_record.ts";
import { isLive } from "./member_view.ts";
import type { Pinger } from "./_pinger.ts";

/** Time for which the records of members that died or left are kept. */
const RETENTION_MS = 24 * 60 * 60 * 1000;

const PROBE_INTERVAL_MS = 10_000;
const PROBE_TIMEOUT_MS = 500;

/**
 * Probes dead members at random, so that the parts of a fleet find each other
 * after a partition, and removes the records of dead members after 24 h.
 */
export class DeadMembers {
  readonly #context: MembershipContext;
  readonly #pinger: Pinger;

  constructor(context: MembershipContext, pinger: Pinger) {
    this.#context = context;
    this.#pinger = pinger;
  }

  /** Probes one dead member per interval until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#context;
    while (!signal.aborted) {
      const sleepMs = uniformInt(
        random,
        PROBE_INTERVAL_MS / 2,
        PROBE_INTERVAL_MS * 3 / 2,
      );
      await clock.sleep(sleepMs, signal);
      if (signal.aborted) return;
      this.#removeExpired();
      await this.#probeOne();
    }
  }

  #removeExpired(): void {
    const { clock, table } = this.#context;
    const limitMs = clock.now() - RETENTION_MS;
    for (const entry of table.entries()) {
      if (!isLive(entry.member) && entry.changedMs < limitMs) {
        table.remove(entry);
      }
    }
  }

  async #probeOne(): Promise<void> {
    const { random, table } = this.#context;
    const dead = [...table.entries()]
      .filter(({ member }) => member.state === MemberState.DEAD);
    if (dead.length === 0) return;
    const { member } = dead[uniformInt(random, 0, dead.length - 1)]!;
    // A member that is alive refutes the reported death.
    await this.#pinger.ping(member.peerAddress, member.nodeId, {
      timeoutMs: PROBE_TIMEOUT_MS,
      updates: [encodeMember(toStateUpdate(member))],
    });
  }
}
