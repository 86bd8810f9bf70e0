/** Keeps an upstream or worker announced by renewing its lease through any entry that answers. */

import { request } from "undici";

export interface AnnouncerOptions {
    /** `/v1/upstreams` or `/v1/workers`. */
    readonly path: string;
    readonly announcement: Readonly<Record<string, unknown>> & { readonly leaseMs: number; };
    /** Public addresses of the zone's entries. */
    readonly entries: () => readonly string[];
    readonly platformToken: string;
}

/** The entry rejected the announcement as invalid, as every other entry would. */
class AnnouncementRefused extends Error {}

export class Announcer {
    private timer: NodeJS.Timeout | undefined;
    private preferred = 0;

    constructor(private readonly options: AnnouncerOptions) {}

    /** Announces at once, and from then on three times per lease. */
    async start(): Promise<void> {
        await this.announce();
        this.timer = setInterval(() => void this.announce(), this.options.announcement.leaseMs / 3);
    }

    /** Ends the lease at once. */
    async leave(): Promise<void> {
        this.stop();
        await this.send(`${this.options.path}/leave`);
    }

    /** Stops renewing, as a killed process does, so that the lease expires. */
    stop(): void {
        clearInterval(this.timer);
    }

    private async announce(): Promise<void> {
        await this.send(this.options.path);
    }

    /** Tries the entry that answered last, then the others. */
    private async send(path: string): Promise<boolean> {
        const entries = this.options.entries();
        for (let attempt = 0; attempt < entries.length; attempt++) {
            const entry = entries[(this.preferred + attempt) % entries.length]!;
            try {
                const response = await request(`http://${entry}${path}`, {
                    method: "POST",
                    headers: {
                        "content-type": "application/json",
                        "authorization": `Bearer ${this.options.platformToken}`,
                    },
                    body: JSON.stringify(this.options.announcement),
                    headersTimeout: 1_000,
                });
                await response.body.dump();
                if (response.statusCode === 400) {
                    throw new AnnouncementRefused(`${entry} refused the announcement of ${path}`);
                }
                if (response.statusCode < 500) {
                    this.preferred = (this.preferred + attempt) % entries.length;
                    return true;
                }
            }
            catch (error) {
                if (error instanceof AnnouncementRefused) {
                    throw error;
                }
                // The next entry is tried.
            }
        }
        return false;
    }
}
