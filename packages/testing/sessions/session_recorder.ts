import type { Clock } from "@oleanderdeck/settings";
import type { SessionEvent, SessionEventData } from "../invariants/mod.ts";

/** Records what happens in a session, with times. */
export class SessionRecorder {
  readonly #clock: Clock;
  readonly #events: SessionEvent[] = [];
  #numbers = 0;

  /** @param clock Time of the session. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** All events so far, in order. */
  get events(): readonly SessionEvent[] {
    return this.#events;
  }

  /** Adds an event at the present time. */
  record(event: SessionEventData): void {
    this.#events.push({ ...event, at: this.#clock.now() });
  }

  /** Number for a sending, an execution or a ticket, unique in the session. */
  nextNumber(): number {
    return ++this.#numbers;
  }
}
