import { uniformInt } from "pure-rand/distribution/uniformInt";
import { type Member, MemberState } from "@oleanderdeck/protocol";
import { isPeer, type MembershipContext } from "./_context.ts";
import { AutoResetEvent } from "./_auto_reset_event.ts";
import { MAX_HEALTH_SCORE } from "./_local_health.ts";
import { encodeMember, toStateUpdate } from "./_member_record.ts";
import { isLive } from "./member_view.ts";
import { type MemberEntry, shuffle } from "./_member_table.ts";
import { INDIRECT_TIMEOUT_MS, PendingPing, type Pinger } from "./_pinger.ts";

/** Interval at which the node probes a member. */
const PROBE_INTERVAL_MS = 1000;

/** Time in which a member has to answer before it is probed indirectly. */
const DIRECT_TIMEOUT_MS = 250;

/** Number of peers that are asked to probe a member that did not answer. */
const INDIRECT_PROBES = 3;

// Number of further direct pings during an indirect probe. With 20% loss each way,
// they reduce the failed probes of live members from 7 in 100 to 1, so that the
// refutations stay within the update budget.
const RESENT_PINGS = 2;

// Time without any datagram after which a node treats itself as isolated. The time
// of one probe is too short for this: during a third of the probes of dead members,
// no other datagram arrives by chance. Members that raised their health score for
// this reason detected the loss of a data centre only after 11 s.
const ISOLATION_SILENCE_MS = 2500;

/** Points that a failed probe adds to the health score of an isolated node. */
const ISOLATION_HEALTH_POINTS = 2;

// Average number of members that notify a suspect of the suspicion, in addition to
// the one that suspects it. Gossip is not sent to suspects, and with 20% loss the
// messages of a single member were all lost now and then.
const EXPECTED_NOTIFIERS = 8;

/** Number of suspects in a data centre from which it may have failed entirely. */
const DATA_CENTRE_SUSPECT_THRESHOLD = 3;

/** Number of probes of the members of a data centre that may have failed. */
const DATA_CENTRE_PROBES = 16;
const DATA_CENTRE_PROBE_INTERVAL_MS = 200;

/** Failure detector: probes members, and suspects those that do not answer. */
export class Prober {
  readonly #context: MembershipContext;
  readonly #pinger: Pinger;
  /** Data centres of suspects by node id. */
  readonly #suspects = new Map<string, string>();
  readonly #dataCentreSuspected = new AutoResetEvent();
  #suspectedDataCentre = "";
  #round = 0;
  #shuffledMembers: MemberEntry[] = [];

  constructor(context: MembershipContext, pinger: Pinger) {
    this.#context = context;
    this.#pinger = pinger;
  }

  /** Probes one member per interval until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, health } = this.#context;
    while (!signal.aborted) {
      const startMs = clock.now();
      const target = this.#nextTarget();
      if (target !== undefined) {
        await this.#probe(target, signal, this.#updatesFor(target));
      }
      const restMs = startMs + PROBE_INTERVAL_MS - clock.now();
      if (restMs <= 0) continue;
      const sleptMs = clock.now();
      await clock.sleep(restMs, signal);
      health.checkTimer(restMs, clock.now() - sleptMs);
    }
  }

  /**
   * Probes the members of a data centre at a higher rate for a few seconds when
   * several of them are suspected, until the signal is aborted. At one probe per
   * second, some members of a lost data centre are not probed before their failure
   * has to be known.
   */
  async runDataCentreProbes(signal: AbortSignal): Promise<void> {
    const { clock, random, table } = this.#context;
    while (!signal.aborted) {
      await this.#dataCentreSuspected.wait(signal);
      for (
        let probe = 0;
        probe < DATA_CENTRE_PROBES && !signal.aborted;
        probe++
      ) {
        const [target] = table.sample(
          random,
          1,
          (entry) =>
            isPeer(this.#context, entry) &&
            entry.member.state === MemberState.ALIVE &&
            entry.member.dataCentre === this.#suspectedDataCentre,
        );
        // Updates would be wasted on targets that are probably dead.
        if (target !== undefined) void this.#probe(target, signal, []);
        await clock.sleep(DATA_CENTRE_PROBE_INTERVAL_MS, signal);
      }
    }
  }

  /** Tracks suspects, and may notify them, after a change of a record. */
  onMemberChange(member: Member): void {
    const { dataCentre, nodeId, state } = member;
    if (state !== MemberState.SUSPECT) {
      this.#suspects.delete(nodeId);
      return;
    }
    const { random, table } = this.#context;
    if (
      !this.#suspects.has(nodeId) &&
      uniformInt(random, 1, table.liveCount) <= EXPECTED_NOTIFIERS
    ) {
      this.#notifySuspect(member);
    }
    this.#suspects.set(nodeId, dataCentre);
    const suspects = [...this.#suspects.values()]
      .filter((other) => other === dataCentre);
    if (suspects.length < DATA_CENTRE_SUSPECT_THRESHOLD) return;
    this.#suspectedDataCentre = dataCentre;
    this.#dataCentreSuspected.set();
  }

  async #probe(
    target: MemberEntry,
    signal: AbortSignal,
    updates: readonly Uint8Array[],
  ): Promise<void> {
    const { health, table } = this.#context;
    const { member } = target;
    const pending = new PendingPing(member.nodeId);
    const suspicion = member.state === MemberState.ALIVE
      ? []
      : [encodeMember(toStateUpdate(member))];
    this.#pinger.send(member.peerAddress, pending, [...suspicion, ...updates]);
    const wasOnTime = await this.#waitForAnswer(DIRECT_TIMEOUT_MS, pending) &&
      (pending.isAnswered || await this.#probeIndirectly(target, pending));
    this.#pinger.discard(pending);
    if (signal.aborted) return;
    if (pending.isAnswered) {
      health.recover();
      if (pending.roundTripMs !== undefined) {
        table.addRoundTripSample(target, pending.roundTripMs);
      }
    } else if (wasOnTime) {
      this.#suspect(target);
    }
  }

  #updatesFor({ member }: MemberEntry): readonly Uint8Array[] {
    return member.state === MemberState.ALIVE
      ? this.#context.disseminator.piggyback()
      : [];
  }

  /** Probes through peers; returns false if this node's own timer was late. */
  async #probeIndirectly(
    target: MemberEntry,
    pending: PendingPing,
  ): Promise<boolean> {
    const { random, table } = this.#context;
    const { peerAddress } = target.member;
    const relays = table.sample(
      random,
      INDIRECT_PROBES,
      (entry) => isPeer(this.#context, entry) && entry !== target,
    );
    for (const { member } of relays) {
      this.#pinger.sendIndirect(member.peerAddress, peerAddress, pending);
    }
    for (let attempt = 0; attempt < RESENT_PINGS; attempt++) {
      this.#pinger.send(peerAddress, pending);
      if (
        !await this.#waitForAnswer(INDIRECT_TIMEOUT_MS / RESENT_PINGS, pending)
      ) {
        return false;
      }
      if (pending.isAnswered) break;
    }
    return true;
  }

  /** Waits for an answer; returns false if this node's own timer was late. */
  async #waitForAnswer(
    timeoutMs: number,
    pending: PendingPing,
  ): Promise<boolean> {
    const { clock, health } = this.#context;
    const startMs = clock.now();
    const sleepMs = timeoutMs * health.multiplier;
    await clock.sleep(sleepMs, pending.ended.signal);
    return !health.checkTimer(sleepMs, clock.now() - startMs);
  }

  #suspect(target: MemberEntry): void {
    const { applyLocal, clock, health, table } = this.#context;
    // If no datagram arrived from any node, this node is more likely isolated than
    // its target dead. With a single peer the two cases cannot be distinguished.
    const silentMs = clock.now() - this.#pinger.lastReceivedMs;
    const isIsolated = silentMs > ISOLATION_SILENCE_MS && table.liveCount > 2;
    if (isIsolated && health.score < MAX_HEALTH_SCORE) {
      return health.raise(ISOLATION_HEALTH_POINTS);
    }
    const { member } = target;
    if (member.state !== MemberState.ALIVE) return;
    const suspect = { ...member, state: MemberState.SUSPECT };
    applyLocal(toStateUpdate(suspect));
    this.#notifySuspect(suspect);
  }

  /** Notifies a suspect of the suspicion, so that it can refute it. */
  #notifySuspect(member: Member): void {
    const updates = [encodeMember(toStateUpdate(member))];
    void this.#pinger.ping(member.peerAddress, member.nodeId, {
      timeoutMs: DIRECT_TIMEOUT_MS,
      updates,
    });
  }

  // Every other probe targets the next member on the ring, so that the death of a
  // single member is detected within two intervals; with random targets alone, a
  // member is not probed for 4 s in 2 of 100 cases. The other probes visit all
  // members in random order, which covers neighbours on the ring that die together.
  #nextTarget(): MemberEntry | undefined {
    const { random, self, table } = this.#context;
    this.#round += 1;
    const own = table.get(self().nodeId);
    if (own !== undefined && this.#round % 2 === 0) {
      const successor = table.successor(own);
      if (successor !== undefined) return successor;
    }
    for (let attempt = 0; attempt < 2; attempt++) {
      while (this.#shuffledMembers.length > 0) {
        const entry = this.#shuffledMembers.pop()!;
        if (isLive(entry.member)) return entry;
      }
      this.#shuffledMembers = shuffle(
        random,
        table.live().filter((entry) => isPeer(this.#context, entry)),
      );
    }
    return undefined;
  }
}
