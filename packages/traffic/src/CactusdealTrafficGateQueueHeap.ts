/**
 * A binary min-heap from which any item can be removed. `push` and `remove` take O(log n); items are
 * found by identity, so an item must not be pushed twice.
 */
export class Heap<T> {
  private readonly items: T[] = [];

  private readonly indexes = new Map<T, number>();

  public constructor(private readonly compare: (left: T, right: T) => number) {}

  public get size(): number {
    return this.items.length;
  }

  public peek(): T | undefined {
    return this.items[0];
  }

  public push(item: T): void {
    this.setAt(item, this.items.length);
    this.siftUp(this.items.length - 1);
  }

  /** Removes the item; returns whether it was in the heap. */
  public remove(item: T): boolean {
    const index = this.indexes.get(item);
    if (index === undefined) return false;
    this.indexes.delete(item);
    const last = this.items.pop() as T;
    if (index === this.items.length) return true;
    this.setAt(last, index);
    this.siftUp(index);
    this.siftDown(this.indexes.get(last) as number);
    return true;
  }

  private setAt(item: T, index: number): void {
    this.items[index] = item;
    this.indexes.set(item, index);
  }

  private isBefore(left: number, right: number): boolean {
    return this.compare(this.items[left] as T, this.items[right] as T) < 0;
  }

  private swap(left: number, right: number): void {
    const item = this.items[left] as T;
    this.setAt(this.items[right] as T, left);
    this.setAt(item, right);
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= this.items.length) return;
      const right = left + 1;
      const child = right < this.items.length && this.isBefore(right, left) ? right : left;
      if (!this.isBefore(child, index)) return;
      this.swap(child, index);
      index = child;
    }
  }
}
