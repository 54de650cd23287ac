import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { z } from "zod";

const durationSchema = z.discriminatedUnion("distribution", [
  z.strictObject({
    distribution: z.literal("constant"),
    milliseconds: z.number().min(0),
  }),
  z.strictObject({
    distribution: z.literal("exponential"),
    meanMs: z.number().min(0),
  }),
  z.strictObject({
    distribution: z.literal("lognormal"),
    medianMs: z.number().min(0),
    sigma: z.number().min(0).max(3),
  }),
]);

const childCallSchema = z.strictObject({
  service: z.string(),
  method: z.string().default("GET"),
  path: z.string().default("/"),
  bodyBytes: z.int().min(0).max(1_048_576).default(0),
  /** Whether the request fails if this call fails. */
  required: z.boolean().default(true),
});

const requestSchema = z.strictObject({
  method: z.string().default("GET"),
  /** Exact path, or a prefix followed by `*`. */
  path: z.string(),
  serviceTime: durationSchema.default({
    distribution: "constant",
    milliseconds: 0,
  }),
  /** Calls to downstream services, made one after the other before the delay. */
  calls: z.array(childCallSchema).default([]),
  /** Status of a response whose required calls succeeded. */
  status: z.int().min(200).max(599).default(200),
  /** Size of the response body in bytes. */
  answerBytes: z.int().min(0).max(16_777_216).default(200),
});

/** Schema of the JSON description of a backend stand-in. */
export const backendBehaviourSchema = z.strictObject({
  service: z.string(),
  /** IP address and port to listen on; with port 0, the system chooses one. */
  listen: z.string().default("127.0.0.1:0"),
  /** Call address of the node to register with; if absent, it runs without one. */
  node: z.string().optional(),
  dataCentre: z.string().default(""),
  slots: z.int().min(1).default(40),
  connectionLimit: z.int().min(1).default(360),
  warmUpMs: z.int().min(0).default(0),
  /** Seed of the random service times. */
  seed: z.int().default(1),
  /** Kinds of requests; the first that matches a request applies. */
  requests: z.array(requestSchema).default([
    requestSchema.parse({ method: "*", path: "*" }),
  ]),
});

/** Behaviour of a backend stand-in, with all defaults filled in. */
export type BackendBehaviour = Readonly<z.infer<typeof backendBehaviourSchema>>;

/** JSON description of a behaviour; every key except the service has a default. */
export type BackendDescription = z.input<typeof backendBehaviourSchema>;

/** Scripted behaviour for one kind of request. */
export type ScriptedRequest = BackendBehaviour["requests"][number];

/** Call to a downstream service. */
export type ChildCall = ScriptedRequest["calls"][number];

/** Distribution of a service time. */
export type ServiceTime = ScriptedRequest["serviceTime"];

/**
 * Finds the script that applies to a request.
 *
 * @returns The first match; undefined if there is none.
 */
export function findScript(
  behaviour: BackendBehaviour,
  request: { readonly method: string; readonly path: string },
): ScriptedRequest | undefined {
  return behaviour.requests.find((script) =>
    (script.method === "*" || script.method === request.method) &&
    (script.path.endsWith("*")
      ? request.path.startsWith(script.path.slice(0, -1))
      : script.path === request.path)
  );
}

/** Seeded random generator of service times. */
export class ServiceTimes {
  readonly #next: () => number;

  /** @param seed Equal seeds produce equal sequences of times. */
  constructor(seed: number) {
    const generator = xoroshiro128plus(seed);
    this.#next = () => uniformFloat64(generator);
  }

  /**
   * Draws the next service time.
   *
   * @returns Milliseconds.
   */
  draw(time: ServiceTime): number {
    switch (time.distribution) {
      case "constant":
        return time.milliseconds;
      case "exponential":
        return -Math.log(1 - this.#next()) * time.meanMs;
      case "lognormal":
        return time.medianMs * Math.exp(time.sigma * this.#normal());
    }
  }

  /** Draws from the standard normal distribution (Box-Muller transform). */
  #normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#next()));
    return radius * Math.cos(2 * Math.PI * this.#next());
  }
}
