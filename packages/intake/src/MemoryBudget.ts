/**
 * The one sum of what clients make a process hold, whichever listener they use: connections, what they send and do not
 * read, and the jobs that they submit. Counted in all, by client address and by account; what exceeds a share is refused
 * unless something dispensable can be given up for it.
 */

export type MemoryRefusal = "memory" | "address-memory" | "connection-memory";

/**
 * Gives up something dispensable in favour of `favoured`: of its address, if that has too much (`address-memory`). False
 * when there is nothing.
 */
export type Reclaim = (refusal: MemoryRefusal, favoured: MemoryAccount) => boolean;

export interface MemoryBudgetOptions {
    readonly totalBytes: number;
    /** Bytes that the connections of one client address can occupy together. */
    readonly addressBytes: number;
}

interface AddressShare {
    readonly address: string;
    heldBytes: number;
    accounts: number;
}

export class MemoryBudget {
    private readonly shares = new Map<string, AddressShare>();
    private readonly reclaims: Reclaim[] = [];
    private total = 0;

    constructor(private readonly options: MemoryBudgetOptions) {}

    get heldBytes(): number {
        return this.total;
    }

    /** Asked in the order in which they were added when an account is short of memory. */
    addReclaim(reclaim: Reclaim): void {
        this.reclaims.push(reclaim);
    }

    /**
     * Opens an account, such as that of one connection, which can occupy `maximumBytes`. `address`: of the client, or a
     * name for what comes from all of them.
     */
    openAccount(address: string, maximumBytes: number): MemoryAccount {
        const share = this.shares.get(address) ?? { address, heldBytes: 0, accounts: 0 };
        this.shares.set(address, share);
        share.accounts += 1;
        let held = 0;
        let isOpen = true;
        const findRefusal = (bytes: number) =>
            isOpen ? this.findRefusal(share, held, maximumBytes, bytes) : "connection-memory";
        const account: MemoryAccount = {
            address,
            get heldBytes() {
                return held;
            },
            charge: bytes => {
                let refusal = findRefusal(bytes);
                while (refusal !== undefined && this.reclaim(refusal, account)) {
                    refusal = findRefusal(bytes);
                }
                if (refusal === undefined) {
                    held += bytes;
                    this.add(share, bytes);
                }
                return refusal;
            },
            release: bytes => {
                if (isOpen) {
                    held -= bytes;
                    this.add(share, -bytes);
                }
            },
            close: () => {
                if (isOpen) {
                    isOpen = false;
                    this.add(share, -held);
                    held = 0;
                    share.accounts -= 1;
                    if (share.accounts === 0) {
                        this.shares.delete(address);
                    }
                }
            },
        };
        return account;
    }

    /** False when nothing could be given up. */
    private reclaim(refusal: MemoryRefusal, favoured: MemoryAccount): boolean {
        return refusal !== "connection-memory" && this.reclaims.some(reclaim => reclaim(refusal, favoured));
    }

    private add(share: AddressShare, bytes: number): void {
        share.heldBytes += bytes;
        this.total += bytes;
    }

    private findRefusal(
        share: AddressShare,
        held: number,
        maximumBytes: number,
        bytes: number,
    ): MemoryRefusal | undefined {
        if (held + bytes > maximumBytes) {
            return "connection-memory";
        }
        if (share.heldBytes + bytes > this.options.addressBytes) {
            return "address-memory";
        }
        return this.total + bytes > this.options.totalBytes ? "memory" : undefined;
    }
}

/** What one connection, or another holder, occupies. */
export interface MemoryAccount {
    readonly address: string;
    readonly heldBytes: number;
    /** Charges `bytes`, or nothing when a share would be exceeded and nothing can be given up for it. */
    readonly charge: (bytes: number) => MemoryRefusal | undefined;
    readonly release: (bytes: number) => void;
    /** Releases everything; later charges are refused, and later releases have no effect. */
    readonly close: () => void;
}
