import type { Clock } from "@oleanderdeck/settings";
import type { SessionEvent, SessionEventData } from "../invariants/mod.ts";

/** Records the events of a session with their times. */
export class SessionRecorder {
  readonly #clock: Clock;
  readonly #events: SessionEvent[] = [];
  #numbers = 0;

  /** @param clock Clock of the session. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** All recorded events, ordered by time. */
  get events(): readonly SessionEvent[] {
    return this.#events;
  }

  /** Records an event at the current time. */
  record(event: SessionEventData): void {
    this.#events.push({ ...event, at: this.#clock.now() });
  }

  /** Creates a number for a sending, an execution or an admission. */
  nextNumber(): number {
    return ++this.#numbers;
  }
}
