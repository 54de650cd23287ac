import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { DeckError } from "@oleanderdeck/errors";
import type { Clock } from "@oleanderdeck/settings";

/**
 * Time without renewal after which a backend server counts as gone, in
 * milliseconds. Backend servers renew every 1,000 ms.
 */
export const REGISTRATION_TERM_MS = 3000;

const registrationSchema = z.strictObject({
  service: z.string().regex(/^[A-Za-z0-9][\w.-]{0,63}$/),
  address: z.string().regex(/^(\[[0-9a-fA-F:.]+\]|[^\s:/@]{1,253}):\d{1,5}$/),
  slots: z.int().min(1).max(100_000),
  connectionLimit: z.int().min(1).max(1_000_000),
  dataCentre: z.string().max(64),
  warmUpMs: z.int().min(0).max(3_600_000),
  state: z.enum(["serving", "draining"]),
});

/** What a backend server tells about itself. */
export type BackendServer = Readonly<z.infer<typeof registrationSchema>>;

/** Options of {@linkcode BackendServerRegistration}. */
export interface BackendServerRegistrationOptions {
  readonly clock: Clock;
  /** Lowest fencing token that is valid now. */
  readonly lowestFence: () => string;
  /**
   * Called when the backend server registers, changes or is gone, but not for
   * a renewal without a change.
   */
  readonly onChange: (server: BackendServer | undefined) => void;
}

/** The backend server beside a node, forgotten when it stops renewing. */
export class BackendServerRegistration {
  readonly #options: BackendServerRegistrationOptions;
  #server: BackendServer | undefined;
  #renewedAt = 0;
  #timer: NodeJS.Timeout | undefined;

  /** @param options Clock, source of the fencing token and listener. */
  constructor(options: BackendServerRegistrationOptions) {
    this.#options = options;
  }

  /** The registered backend server. */
  get current(): BackendServer | undefined {
    return this.#server;
  }

  /**
   * Registers or renews. `malformed_request` for a document of another shape.
   *
   * @param document Parsed JSON.
   * @returns The lowest fencing token that is valid.
   */
  put(document: unknown): Either<DeckError, { readonly lowestFence: string }> {
    const parsed = registrationSchema.safeParse(document);
    if (!parsed.success) {
      return Left(
        new DeckError("malformed_request", {
          message: z.prettifyError(parsed.error).replaceAll("\n", "; "),
        }),
      );
    }
    this.#renewedAt = this.#options.clock.now();
    this.#timer ??= this.#checkAfter(REGISTRATION_TERM_MS);
    const changed = JSON.stringify(parsed.data) !==
      JSON.stringify(this.#server);
    this.#server = parsed.data;
    if (changed) this.#options.onChange(this.#server);
    return Right({ lowestFence: this.#options.lowestFence() });
  }

  /** Ends the timer. */
  close(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #checkAfter(milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => {
      const left = this.#renewedAt + REGISTRATION_TERM_MS -
        this.#options.clock.now();
      this.#timer = left > 0 ? this.#checkAfter(left) : undefined;
      if (left > 0) return;
      this.#server = undefined;
      this.#options.onChange(undefined);
    }, Math.ceil(milliseconds)).unref();
  }
}
