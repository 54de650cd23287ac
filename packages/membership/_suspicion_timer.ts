import { type Member, MemberState } from "@oleanderdeck/protocol";
import type { AntiEntropy } from "./_anti_entropy.ts";
import type { MembershipContext } from "./_context.ts";
import { AutoResetEvent } from "./_auto_reset_event.ts";
import { toStateUpdate } from "./_member_record.ts";

/** Time in which a suspect has to refute; extended by a poor health score. */
const SUSPICION_TIMEOUT_MS = 4000;

/** Interval at which the timers of suspects are checked. */
const CHECK_INTERVAL_MS = 200;

// Time before the end of a suspicion at which peers are asked for a refutation.
// Without this, at 20% loss, a node that had missed the update with the refutation
// now and then declared a live member dead.
const REFUTATION_QUERY_LEAD_MS = 1500;

/** Declares suspects dead when they do not refute the suspicion in time. */
export class SuspicionTimer {
  readonly #context: MembershipContext;
  readonly #antiEntropy: AntiEntropy;
  /** Node ids of suspects, and whether peers were asked for a refutation. */
  readonly #suspects = new Map<string, boolean>();
  readonly #suspectAdded = new AutoResetEvent();

  constructor(context: MembershipContext, antiEntropy: AntiEntropy) {
    this.#context = context;
    this.#antiEntropy = antiEntropy;
  }

  /** Starts or ends the timer of a member after a change of its record. */
  onMemberChange(member: Member): void {
    if (member.state !== MemberState.SUSPECT) {
      this.#suspects.delete(member.nodeId);
      return;
    }
    if (this.#suspects.has(member.nodeId)) return;
    this.#suspects.set(member.nodeId, false);
    this.#restartTimeout(member.nodeId);
    this.#suspectAdded.set();
  }

  /** Checks the suspects until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, health } = this.#context;
    while (!signal.aborted) {
      if (this.#suspects.size === 0) await this.#suspectAdded.wait(signal);
      const startMs = clock.now();
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (signal.aborted) return;
      // After a pause of the process, refutations may still wait in the socket.
      if (health.checkTimer(CHECK_INTERVAL_MS, clock.now() - startMs)) {
        this.#suspects.forEach((_, nodeId) => this.#restartTimeout(nodeId));
      }
      this.#queryRefutations(clock.now());
      this.#declareDead(clock.now());
    }
  }

  #restartTimeout(nodeId: string): void {
    const { clock, health, table } = this.#context;
    const entry = table.get(nodeId);
    if (entry === undefined) return;
    entry.suspicionEndMs = clock.now() +
      SUSPICION_TIMEOUT_MS * health.multiplier;
  }

  #queryRefutations(nowMs: number): void {
    const due = [...this.#suspects]
      .filter(([nodeId, wasQueried]) => {
        const entry = this.#context.table.get(nodeId);
        return !wasQueried && entry !== undefined &&
          entry.suspicionEndMs - nowMs <= REFUTATION_QUERY_LEAD_MS;
      })
      .map(([nodeId]) => nodeId);
    if (due.length === 0) return;
    due.forEach((nodeId) => this.#suspects.set(nodeId, true));
    this.#antiEntropy.queryRefutations(due);
  }

  #declareDead(nowMs: number): void {
    const { applyLocal, table } = this.#context;
    for (const nodeId of [...this.#suspects.keys()]) {
      const entry = table.get(nodeId);
      if (entry === undefined || entry.suspicionEndMs > nowMs) continue;
      applyLocal({ ...toStateUpdate(entry.member), state: MemberState.DEAD });
    }
  }
}
