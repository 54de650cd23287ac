import type { Configuration } from "@oleanderdeck/directory";
import type { TokenLimit } from "@oleanderdeck/leases";

/**
 * Number of versions of the configuration whose positions are known. Hosts take
 * a new version within some seconds of each other.
 */
const MAX_VERSIONS = 4;

interface NumberedNames {
  readonly names: readonly string[];
  readonly positions: ReadonlyMap<string, number>;
}

/** Limits of the organisations, and their positions in frames. */
export class OrganisationLimits {
  readonly #byVersion = new Map<number, NumberedNames>();
  #limits: ReadonlyMap<string, TokenLimit> = new Map();
  #version = 0;

  /** Version of the configuration in force; 0 if there is none. */
  get version(): number {
    return this.#version;
  }

  /** Limits of the organisations that have one, by name. */
  get limits(): ReadonlyMap<string, TokenLimit> {
    return this.#limits;
  }

  /** Puts a configuration in force. */
  apply({ version, organisations = [] }: Configuration): void {
    const names = organisations.map(({ name }) => name);
    this.#version = version;
    const positions = new Map(names.map((name, position) => [name, position]));
    this.#byVersion.set(version, { names, positions });
    const [oldest] = this.#byVersion.keys();
    if (oldest !== undefined && this.#byVersion.size > MAX_VERSIONS) {
      this.#byVersion.delete(oldest);
    }
    this.#limits = new Map(
      organisations.filter(({ ratePerSecond }) => ratePerSecond > 0)
        .map(({ name, ratePerSecond, burst }) => [
          name,
          { ratePerSecond, burst: Math.max(0, burst) },
        ]),
    );
  }

  /**
   * Returns the names of the organisations by position; empty if the version is
   * not known.
   */
  namesOf(version: number): readonly string[] {
    return this.#byVersion.get(version)?.names ?? [];
  }

  /** Returns the position of an organisation in a version, if it has one. */
  positionOf(
    organisation: string,
    version = this.#version,
  ): number | undefined {
    return this.#byVersion.get(version)?.positions.get(organisation);
  }
}
