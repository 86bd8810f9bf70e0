/**
 * The drained zones as an entry knows them. Each control instance sends its own view with its log index, and one may be
 * behind the others, so the highest index counts, in whatever order the messages arrive.
 */
export class DrainedZones {
    /** Undefined until a control instance has sent the list. */
    private index: number | undefined;
    private zones: ReadonlySet<string> = new Set();

    /** True once a control instance has sent the list. */
    get isKnown(): boolean {
        return this.index !== undefined;
    }

    get isAnyDrained(): boolean {
        return this.zones.size > 0;
    }

    isDrained(zone: string): boolean {
        return this.zones.has(zone);
    }

    /** Records the list of a control instance; false when a list as recent is known. */
    apply(index: number, zones: readonly string[]): boolean {
        if (this.index !== undefined && index <= this.index) {
            return false;
        }
        this.index = index;
        this.zones = new Set(zones);
        return true;
    }
}
