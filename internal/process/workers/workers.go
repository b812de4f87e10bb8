// Package workers runs tasks on a fixed number of goroutines. Tasks with the same key run
// sequentially, in the order of their submission.
package workers

import "sync"

// queueCapacity is the number of tasks that can wait for one worker. If the queue is full,
// Submit blocks, which applies backpressure to the peer links that submit tasks.
const queueCapacity = 1024

// Pool is a set of workers. Tasks must not block, since others wait behind them.
type Pool struct {
	queues []chan func()
	wg     sync.WaitGroup
}

// NewPool starts n workers.
func NewPool(n int) *Pool {
	p := &Pool{queues: make([]chan func(), n)}
	for i := range p.queues {
		queue := make(chan func(), queueCapacity)
		p.queues[i] = queue
		p.wg.Go(func() {
			for task := range queue {
				task()
			}
		})
	}
	return p
}

// Submit queues a task for the worker of its key. It blocks while the queue is full.
func (p *Pool) Submit(key uint64, task func()) {
	p.queues[key%uint64(len(p.queues))] <- task
}

// Close runs the queued tasks and ends the workers. Submit must not be called afterwards.
func (p *Pool) Close() {
	for _, queue := range p.queues {
		close(queue)
	}
	p.wg.Wait()
}
